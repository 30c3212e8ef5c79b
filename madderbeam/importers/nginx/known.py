"""The table of known directives, by subject, and their verdicts. The operators' page is generated from it.

The names come from nginx's public documentation (nginx.org/en/docs/dirindex.html) and from the most common
third-party modules.
"""

from __future__ import annotations

from dataclasses import dataclass

from madderbeam.importers.nginx.verdicts import Verdict


@dataclass(frozen=True)
class Subject:
    """Directives that share a verdict and its reason."""

    title: str
    verdict: Verdict
    why: str
    names: tuple[str, ...]
    prefixes: tuple[str, ...] = ()


def _left(title: str, why: str, names: str, prefixes: str = "") -> Subject:
    return Subject(title, Verdict.LEFT, why, tuple(names.split()), tuple(prefixes.split()))


# Directives that the importer interprets: name, usual verdict, explanation.
READ: tuple[tuple[str, Verdict, str], ...] = (
    ("http", Verdict.IMPORTED, "its servers and upstreams"),
    ("include", Verdict.IMPORTED, "what it names is read in its place"),
    ("upstream", Verdict.IMPORTED, "a partner with a pool"),
    (
        "server (in upstream)",
        Verdict.IMPORTED,
        "an endpoint; weight, backup, down, max_conns, max_fails, "
        "fail_timeout and slow_start carry over; changed: drain (terminating), a host name (looked up by the system), "
        "max_conns beside zone; not imported: unix: addresses, resolve, service, a server that is another partner's",
    ),
    ("least_conn, random, random two", Verdict.IMPORTED, "the pool's method"),
    ("random two least_time, least_time", Verdict.CHANGED, "least_conn"),
    (
        "hash, ip_hash",
        Verdict.CHANGED,
        "hash, or consistent_hash, by the tenant, the key or the id of a message",
    ),
    (
        "keepalive, keepalive_time, keepalive_requests",
        Verdict.CHANGED,
        "connections are kept by the courier's own rules",
    ),
    ("keepalive_timeout (in upstream)", Verdict.IMPORTED, "connection_idle_ms; changed where several differ"),
    ("zone (in upstream)", Verdict.CHANGED, "a courier is one process; nothing is shared"),
    ("server", Verdict.IMPORTED, "routes of its names"),
    ("server_name", Verdict.IMPORTED, "the routes' host; not imported: expressions that RE2 can't run"),
    ("listen", Verdict.CHANGED, "clients hand messages in at the application's address, over RESP2"),
    (
        "location",
        Verdict.IMPORTED,
        "a route; one with no proxy_pass leads nowhere; not imported: named ones, "
        "expressions that RE2 can't run, those within an expression, expressions within a location",
    ),
    (
        "proxy_pass",
        Verdict.IMPORTED,
        "the route's partner; changed: one with a URI; not imported: variables that are "
        "not constant, https, unix:",
    ),
    (
        "proxy_next_upstream",
        Verdict.IMPORTED,
        "the pool's fails_on; changed: off, http_502 to http_504, http_429, "
        "http_403, http_404; non_idempotent is never carried over",
    ),
    (
        "proxy_next_upstream_tries",
        Verdict.IMPORTED,
        "attempts; changed where several differ or it is over 12",
    ),
    ("proxy_connect_timeout", Verdict.IMPORTED, "connect_timeout_ms; changed where several differ"),
    ("map, split_clients", Verdict.IMPORTED, "where they say one constant; else not"),
    ("set", Verdict.IMPORTED, "where it is a constant that proxy_pass uses; else not"),
)

SUBJECTS: tuple[Subject, ...] = (
    _left(
        "the process",
        "is nginx's own process",
        "user worker_processes worker_rlimit_nofile worker_rlimit_core "
        "worker_priority worker_cpu_affinity worker_shutdown_timeout worker_connections pid daemon master_process "
        "lock_file working_directory env events use multi_accept accept_mutex accept_mutex_delay debug_connection "
        "load_module thread_pool timer_resolution pcre_jit ssl_engine debug_points worker_aio_requests",
    ),
    _left(
        "logs",
        "logs are the courier's own",
        "error_log access_log log_format log_not_found log_subrequest open_log_file_cache rewrite_log",
    ),
    _left("relays of TCP and mail", "is no HTTP", "stream mail"),
    _left(
        "rewriting and conditions",
        "a message's path is matched as it came; it is not rewritten, and no condition is run",
        "rewrite if break return uninitialized_variable_warn set_by_lua try_files error_page "
        "recursive_error_pages internal satisfy limit_except post_action",
    ),
    _left(
        "scripts",
        "no script is run",
        "perl perl_modules perl_require perl_set js_import js_path js_content "
        "js_set js_var js_header_filter js_body_filter js_include js_fetch_timeout js_preload_object js_access",
        "lua_ js_fetch_ js_shared_ content_by_lua access_by_lua rewrite_by_lua header_filter_by_lua "
        "body_filter_by_lua log_by_lua init_by_lua init_worker_by_lua set_by_lua balancer_by_lua "
        "ssl_certificate_by_lua server_rewrite_by_lua exit_worker_by_lua",
    ),
    _left(
        "filters of answers",
        "an answer's body means nothing to a courier",
        "sub_filter sub_filter_once "
        "sub_filter_types sub_filter_last_modified add_before_body add_after_body addition_types gzip gzip_types "
        "gzip_vary gzip_comp_level gzip_buffers gzip_disable gzip_http_version gzip_min_length gzip_proxied "
        "gunzip gunzip_buffers gzip_static charset charset_types charset_map override_charset source_charset "
        "add_header add_trailer expires ssi ssi_silent_errors ssi_types xslt_stylesheet image_filter mp4 flv "
        "brotli brotli_static brotli_types",
    ),
    _left(
        "who may come",
        "the courier's clients are its own programs",
        "allow deny auth_basic auth_basic_user_file "
        "auth_request auth_request_set auth_jwt auth_jwt_key_file auth_delay referer_hash_max_size valid_referers "
        "secure_link secure_link_md5 secure_link_secret real_ip_header set_real_ip_from real_ip_recursive",
    ),
    _left(
        "limits",
        "the courier has no quotas by path or address yet",
        "limit_req limit_req_zone limit_req_status "
        "limit_req_log_level limit_req_dry_run limit_conn limit_conn_zone limit_conn_status limit_conn_log_level "
        "limit_conn_dry_run limit_rate limit_rate_after limit_zone",
    ),
    _left("TLS", "partners are called over plain TCP", "", "ssl_ proxy_ssl_ quic_ http2 http3"),
    _left("upgraded connections", "a call is one request and its answer", "proxy_upgrade"),
    _left(
        "what a call looks like",
        "a call is POST /events with the courier's own headers; none is passed on",
        "proxy_set_header proxy_set_body proxy_pass_request_headers proxy_pass_request_body proxy_method "
        "proxy_http_version proxy_hide_header proxy_pass_header proxy_redirect proxy_cookie_path proxy_bind "
        "proxy_cookie_domain proxy_cookie_flags proxy_headers_hash_max_size proxy_headers_hash_bucket_size "
        "proxy_ignore_headers proxy_intercept_errors proxy_socket_keepalive proxy_request_buffering "
        "proxy_pass_trailers",
    ),
    _left(
        "buffers and caches",
        "an answer's body means nothing to a courier, and nothing is cached",
        "proxy_buffering proxy_buffers proxy_buffer_size proxy_busy_buffers_size proxy_max_temp_file_size "
        "proxy_temp_file_write_size proxy_temp_path proxy_limit_rate proxy_store proxy_store_access "
        "open_file_cache open_file_cache_valid open_file_cache_min_uses open_file_cache_errors slice",
        "proxy_cache",
    ),
    _left(
        "time-outs of calls",
        "the courier learns how long a partner takes, and a message has its own deadline",
        "proxy_read_timeout proxy_send_timeout proxy_next_upstream_timeout proxy_force_ranges",
    ),
    _left(
        "other protocols",
        "partners are called over HTTP/1.1",
        "",
        "fastcgi_ uwsgi_ scgi_ memcached_ grpc_ tunnel_",
    ),
    _left(
        "files",
        "the courier serves no files",
        "root alias index autoindex autoindex_exact_size "
        "autoindex_format autoindex_localtime random_index sendfile sendfile_max_chunk directio "
        "directio_alignment aio aio_write output_buffers read_ahead etag if_modified_since disable_symlinks "
        "max_ranges empty_gif default_type types types_hash_max_size types_hash_bucket_size "
        "dav_methods create_full_put_path min_delete_depth dav_access",
    ),
    _left(
        "clients' connections",
        "clients speak RESP2 to the courier",
        "keepalive_timeout keepalive_requests keepalive_time keepalive_disable client_max_body_size "
        "client_body_buffer_size client_body_timeout client_header_timeout client_header_buffer_size "
        "large_client_header_buffers client_body_temp_path client_body_in_file_only "
        "client_body_in_single_buffer tcp_nodelay tcp_nopush send_timeout send_lowat postpone_output "
        "reset_timedout_connection lingering_close lingering_time lingering_timeout underscores_in_headers "
        "ignore_invalid_headers merge_slashes absolute_redirect port_in_redirect server_name_in_redirect "
        "server_tokens chunked_transfer_encoding msie_padding msie_refresh connection_pool_size "
        "request_pool_size subrequest_output_buffer_size early_hints max_headers auth_http",
    ),
    _left(
        "names at run time",
        "an address is what the partner list says",
        "resolver resolver_timeout resolve "
        "server_names_hash_max_size server_names_hash_bucket_size variables_hash_max_size "
        "variables_hash_bucket_size map_hash_max_size map_hash_bucket_size",
    ),
    _left(
        "variables",
        "their values depend on the request",
        "geo geoip_country geoip_city geoip_org geoip_proxy "
        "geoip_proxy_recursive geoip2 userid userid_name userid_domain userid_expires userid_path userid_mark "
        "userid_p3p userid_service browser ancient_browser modern_browser keyval keyval_zone",
    ),
    _left(
        "sessions and health",
        "the courier keeps to no session, and judges partners by their answers",
        "sticky sticky_cookie_insert ntlm queue state health_check match health_check_timeout check "
        "check_keepalive_requests check_http_send check_http_expect_alive check_shm_size check_status "
        "session_log status_zone preconnect",
    ),
    _left(
        "copies and state pages",
        "the courier sends a message once, and has figures of its own",
        "mirror mirror_request_body stub_status api status status_format",
    ),
)
BY_NAME = {name: subject for subject in SUBJECTS for name in subject.names}
ENTRIES = frozenset({"map", "types", "geo", "split_clients", "charset_map", "geoip2", "match", "keyval"})


def default_verdict(name: str) -> tuple[Verdict, str]:
    """Return the verdict and its reason for a directive that the importer doesn't interpret."""
    if name in BY_NAME:
        return BY_NAME[name].verdict, BY_NAME[name].why
    for subject in SUBJECTS:
        if name.startswith(subject.prefixes):
            return subject.verdict, subject.why
    return Verdict.LEFT, "is not known here, perhaps another module's"


def page() -> str:
    """Return the table of the operators' page as Markdown."""
    text = ["| directive | as a rule | what becomes of it |", "| --- | --- | --- |"]
    text += [f"| `{name}` | {verdict.value} | {what} |" for name, verdict, what in READ]
    for subject in SUBJECTS:
        names = ", ".join(f"`{n}`" for n in (*subject.names, *(p + "*" for p in subject.prefixes)))
        text.append(f"| {subject.title}: {names} | {subject.verdict.value} | {subject.why} |")
    text.append("| any other | not imported | is not known here, perhaps another module's |")
    return "\n".join(text) + "\n"
