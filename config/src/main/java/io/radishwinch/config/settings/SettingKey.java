package io.radishwinch.config.settings;

/** Settings of a router with type, unit, range and default. */
public enum SettingKey {
    /** Identifier of this router, unique in the fleet; by default the peer address. */
    ROUTER_ID(
            "routerId",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "Identifier of this router, unique in the fleet; by default the peer address."),
    /** Data centre of this VM. */
    DATA_CENTRE("dataCentre", Kind.TEXT, "dc-1", 0, 0, "", "Data centre of this VM."),
    /** IP address on which the router serves callers. */
    CALLER_HOST("caller.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which callers are served."),
    /** TCP port on which the router serves callers; 0 selects a free port. */
    CALLER_PORT(
            "caller.port",
            Kind.INTEGER,
            "8080",
            0,
            65535,
            "port",
            "TCP port on which callers are served; 0 picks a free one."),
    /** Maximum size of a request body. */
    CALLER_MAX_BODY_BYTES(
            "caller.maxBodyBytes", Kind.INTEGER, "4194304", 1024, 1_073_741_824, "bytes", "Largest request body."),
    /** Maximum total size of the headers of a request. */
    CALLER_MAX_HEADER_BYTES(
            "caller.maxHeaderBytes",
            Kind.INTEGER,
            "16384",
            1024,
            1_048_576,
            "bytes",
            "Largest sum of request headers."),
    /** Maximum time to receive a request body. */
    CALLER_BODY_TIMEOUT_MS(
            "caller.bodyTimeoutMs",
            Kind.INTEGER,
            "30000",
            100,
            3_600_000,
            "ms",
            "Longest time for a request body to arrive."),
    /** Maximum time for which a caller may leave its response unread; the router then closes the connection. */
    CALLER_WRITE_TIMEOUT_MS(
            "caller.writeTimeoutMs",
            Kind.INTEGER,
            "30000",
            100,
            3_600_000,
            "ms",
            "Longest time that a caller may leave its answer unread before the connection is closed."),
    /** Maximum number of open caller connections. */
    CALLER_MAX_CONNECTIONS(
            "caller.maxConnections",
            Kind.INTEGER,
            "20000",
            1,
            1_000_000,
            "connections",
            "Largest number of open caller connections."),
    /** PEM certificate chain of the caller port; if empty, the port serves plain HTTP. */
    CALLER_TLS_CERT_FILE(
            "caller.tls.certFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "PEM certificate chain for callers; empty serves plain HTTP."),
    /** PEM private key of the caller port. */
    CALLER_TLS_KEY_FILE("caller.tls.keyFile", Kind.TEXT, "", 0, 0, "", "PEM private key for callers."),
    /** IP address of the admin API. */
    ADMIN_HOST("admin.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which operators are served."),
    /** TCP port of the admin API; 0 selects a free port. */
    ADMIN_PORT(
            "admin.port",
            Kind.INTEGER,
            "8081",
            0,
            65535,
            "port",
            "TCP port on which operators are served; 0 picks a free one."),
    /**
     * PEM certificate chain of the admin API; if empty, the API serves plain HTTP, which is allowed on loopback only.
     */
    ADMIN_TLS_CERT_FILE(
            "admin.tls.certFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "PEM certificate chain for operators; empty serves plain HTTP, allowed on loopback only."),
    /** PEM private key of the admin API. */
    ADMIN_TLS_KEY_FILE("admin.tls.keyFile", Kind.TEXT, "", 0, 0, "", "PEM private key for operators."),
    /** IP address on which the router accepts connections of peers. */
    PEER_HOST("peer.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which other routers are served."),
    /** TCP port on which the router accepts connections of peers; 0 selects a free port. */
    PEER_PORT(
            "peer.port",
            Kind.INTEGER,
            "8082",
            0,
            65535,
            "port",
            "TCP port on which other routers are served; 0 picks a free one."),
    /** Addresses of peers as host:port, used in addition to the VM list. */
    PEER_SEEDS(
            "peer.seeds",
            Kind.TEXT_LIST,
            "",
            0,
            0,
            "",
            "Addresses of other routers as host:port, used besides the VM list."),
    /**
     * PEM certificate of this router for mutual TLS; if empty, peers use plain TCP, which is allowed on loopback only.
     */
    PEER_TLS_CERT_FILE(
            "peer.tls.certFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "PEM certificate of this router for mutual TLS; empty uses plain TCP, allowed on loopback only."),
    /** PEM private key of this router. */
    PEER_TLS_KEY_FILE("peer.tls.keyFile", Kind.TEXT, "", 0, 0, "", "PEM private key of this router."),
    /** PEM certificates of the authorities that sign the certificates of peers. */
    PEER_TLS_CA_FILE(
            "peer.tls.caFile", Kind.TEXT, "", 0, 0, "", "PEM certificates that may sign the certificates of peers."),
    /** Interval between checks for changed certificate and key files, which are reloaded. */
    TLS_RELOAD_MS(
            "tlsReloadMs",
            Kind.INTEGER,
            "60000",
            1000,
            86_400_000,
            "ms",
            "Interval after which certificate and key files are read again if they changed."),
    /** IP address of the platform's object API. */
    PLATFORM_HOST("platform.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address of the platform's object API."),
    /** TCP port of the platform's object API. */
    PLATFORM_PORT("platform.port", Kind.INTEGER, "8090", 0, 65535, "port", "TCP port of the platform's object API."),
    /** Timeout of one call to the platform. */
    PLATFORM_TIMEOUT_MS(
            "platform.timeoutMs", Kind.INTEGER, "2000", 10, 60_000, "ms", "Longest time for one call to the platform."),
    /** Interval between polls of the VM list. */
    PLATFORM_VM_LIST_MS(
            "platform.vmListIntervalMs",
            Kind.INTEGER,
            "2000",
            100,
            60_000,
            "ms",
            "Interval between readings of the VM list."),
    /** Write budget of this router; the sum over all routers must stay below the limit of the platform. */
    PLATFORM_WRITES_PER_S(
            "platform.writesPerS",
            Kind.NUMBER,
            "20",
            0.1,
            1000,
            "writes/s",
            "Budget of this router for writes; the budgets of all routers must sum to less than the platform takes."),
    /** Read and watch budget of this router; the sum over all routers must stay below the limit of the platform. */
    PLATFORM_READS_PER_S(
            "platform.readsPerS",
            Kind.NUMBER,
            "100",
            1,
            2000,
            "reads/s",
            "Budget of this router for reads and watches; the budgets of all routers must sum to less than the platform takes."),
    /** Timeout of a connection attempt to an endpoint. */
    ENDPOINT_CONNECT_TIMEOUT_MS(
            "endpoint.connectTimeoutMs",
            Kind.INTEGER,
            "1000",
            10,
            60_000,
            "ms",
            "Longest time to connect to an endpoint."),
    /** Interval between polls of the load report of an endpoint. */
    ENDPOINT_LOAD_INTERVAL_MS(
            "endpoint.loadIntervalMs",
            Kind.INTEGER,
            "500",
            50,
            60_000,
            "ms",
            "Interval between load readings of an endpoint."),
    /** File with the key that authenticates orders to engines that verify them. */
    ENDPOINT_ORDER_KEY_FILE(
            "endpoint.orderKeyFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "File with the key that this router presents with orders to engines that check them."),
    /** Total rate at which the engines of this data centre may read weights from the weight store. */
    PLACEMENT_STORE_BYTES_PER_S(
            "placement.storeBytesPerS",
            Kind.NUMBER,
            "1000000000",
            1,
            1e13,
            "bytes/s",
            "Rate at which engines of this data centre may read weights together."),
    /** TCP port on which a router process started by the platform serves its metrics. */
    METRICS_PORT(
            "metrics.port",
            Kind.INTEGER,
            "9464",
            1,
            65535,
            "port",
            "TCP port on which a platform's process serves its metrics."),
    /** Number of event loops that serve callers and endpoints. */
    TRAFFIC_THREADS(
            "trafficThreads", Kind.INTEGER, "2", 1, 256, "threads", "Event loops that serve callers and endpoints."),
    /** Maximum number of queued requests. */
    QUEUE_MAX_REQUESTS(
            "queue.maxRequests", Kind.INTEGER, "10000", 1, 1_000_000, "requests", "Largest number of queued requests."),
    /** Maximum number of attempts of a request. */
    RETRY_MAX_ATTEMPTS(
            "retry.maxAttempts",
            Kind.INTEGER,
            "4",
            1,
            100,
            "attempts",
            "Largest number of attempts of a request; once its response has begun, only those count to which an"
                    + " endpoint responded with an error."),
    /** Maximum time for running requests to finish during shutdown. */
    DRAIN_TIMEOUT_MS(
            "drainTimeoutMs",
            Kind.INTEGER,
            "60000",
            0,
            3_600_000,
            "ms",
            "Longest time that running requests may take after a stop was asked for."),
    /**
     * Interval between writes of the day summary to the platform. It also bounds the data gap after the loss of a
     * router.
     */
    REPORT_INTERVAL_MS(
            "report.intervalMs",
            Kind.INTEGER,
            "300000",
            1000,
            3_600_000,
            "ms",
            "Interval between writes of the day summary to the platform; also the largest gap that the loss of a router leaves."),
    /** Time zone in which the day of the report ends at midnight. */
    REPORT_TIME_ZONE(
            "report.timeZone",
            Kind.TEXT,
            "UTC",
            0,
            0,
            "",
            "Time zone whose midnight ends the day of the report, for example America/Chicago."),
    /** Minimum level that is logged: DEBUG, INFO, WARNING or ERROR. */
    LOG_LEVEL(
            "log.level",
            Kind.TEXT,
            "INFO",
            0,
            0,
            "",
            "Least severe level that is logged: DEBUG, INFO, WARNING or ERROR."),
    /** Format of log lines: text or json. */
    LOG_FORMAT("log.format", Kind.TEXT, "text", 0, 0, "", "Format of log lines: text or json.");

    private final String path;
    private final Kind kind;
    private final String defaultValue;
    private final double min;
    private final double max;
    private final String unit;
    private final String description;

    SettingKey(String path, Kind kind, String defaultValue, double min, double max, String unit, String description) {
        this.path = path;
        this.kind = kind;
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
        this.unit = unit;
        this.description = description;
    }

    /** Returns the path of the setting in the file, for example {@code caller.port}. */
    public String path() {
        return path;
    }

    /** Returns the type of the value. */
    public Kind kind() {
        return kind;
    }

    /** Returns the default value in the notation of the settings file. */
    public String defaultValue() {
        return defaultValue;
    }

    /** Returns the smallest value allowed of a numeric setting. */
    public double min() {
        return min;
    }

    /** Returns the largest value allowed of a numeric setting. */
    public double max() {
        return max;
    }

    /** Returns the unit of the value, or an empty string if it has none. */
    public String unit() {
        return unit;
    }

    /** Returns a description of the setting in one sentence. */
    public String description() {
        return description;
    }

    /** Type of the value of a setting. */
    public enum Kind {
        /** A string. */
        TEXT,
        /** A list of strings. */
        TEXT_LIST,
        /** An integer. */
        INTEGER,
        /** A floating-point number. */
        NUMBER
    }
}
