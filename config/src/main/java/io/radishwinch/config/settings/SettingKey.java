package io.radishwinch.config.settings;

/** Every setting of a router with its type, unit, bounds and default. */
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
    /** IP address on which callers are served. */
    CALLER_HOST("caller.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which callers are served."),
    /** TCP port on which callers are served; 0 picks a free one. */
    CALLER_PORT(
            "caller.port",
            Kind.INTEGER,
            "8080",
            0,
            65535,
            "port",
            "TCP port on which callers are served; 0 picks a free one."),
    /** Largest request body. */
    CALLER_MAX_BODY_BYTES(
            "caller.maxBodyBytes", Kind.INTEGER, "4194304", 1024, 1_073_741_824, "bytes", "Largest request body."),
    /** Largest sum of request headers. */
    CALLER_MAX_HEADER_BYTES(
            "caller.maxHeaderBytes",
            Kind.INTEGER,
            "16384",
            1024,
            1_048_576,
            "bytes",
            "Largest sum of request headers."),
    /** Longest time for a request body to arrive. */
    CALLER_BODY_TIMEOUT_MS(
            "caller.bodyTimeoutMs",
            Kind.INTEGER,
            "30000",
            100,
            3_600_000,
            "ms",
            "Longest time for a request body to arrive."),
    /** Longest time that a caller may leave its answer unread before the connection is closed. */
    CALLER_WRITE_TIMEOUT_MS(
            "caller.writeTimeoutMs",
            Kind.INTEGER,
            "30000",
            100,
            3_600_000,
            "ms",
            "Longest time that a caller may leave its answer unread before the connection is closed."),
    /** Largest number of open caller connections. */
    CALLER_MAX_CONNECTIONS(
            "caller.maxConnections",
            Kind.INTEGER,
            "20000",
            1,
            1_000_000,
            "connections",
            "Largest number of open caller connections."),
    /** PEM certificate chain for callers; empty serves plain HTTP. */
    CALLER_TLS_CERT_FILE(
            "caller.tls.certFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "PEM certificate chain for callers; empty serves plain HTTP."),
    /** PEM private key for callers. */
    CALLER_TLS_KEY_FILE("caller.tls.keyFile", Kind.TEXT, "", 0, 0, "", "PEM private key for callers."),
    /** IP address on which operators are served. */
    ADMIN_HOST("admin.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which operators are served."),
    /** TCP port on which operators are served; 0 picks a free one. */
    ADMIN_PORT(
            "admin.port",
            Kind.INTEGER,
            "8081",
            0,
            65535,
            "port",
            "TCP port on which operators are served; 0 picks a free one."),
    /** PEM certificate chain for operators; empty serves plain HTTP, allowed on loopback only. */
    ADMIN_TLS_CERT_FILE(
            "admin.tls.certFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "PEM certificate chain for operators; empty serves plain HTTP, allowed on loopback only."),
    /** PEM private key for operators. */
    ADMIN_TLS_KEY_FILE("admin.tls.keyFile", Kind.TEXT, "", 0, 0, "", "PEM private key for operators."),
    /** IP address on which other routers are served. */
    PEER_HOST("peer.host", Kind.TEXT, "127.0.0.1", 0, 0, "", "IP address on which other routers are served."),
    /** TCP port on which other routers are served; 0 picks a free one. */
    PEER_PORT(
            "peer.port",
            Kind.INTEGER,
            "8082",
            0,
            65535,
            "port",
            "TCP port on which other routers are served; 0 picks a free one."),
    /** Addresses of other routers as host:port, used besides the VM list. */
    PEER_SEEDS(
            "peer.seeds",
            Kind.TEXT_LIST,
            "",
            0,
            0,
            "",
            "Addresses of other routers as host:port, used besides the VM list."),
    /** PEM certificate of this router for mutual TLS; empty uses plain TCP, allowed on loopback only. */
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
    /** PEM certificates that may sign the certificates of peers. */
    PEER_TLS_CA_FILE(
            "peer.tls.caFile", Kind.TEXT, "", 0, 0, "", "PEM certificates that may sign the certificates of peers."),
    /** Interval after which certificate and key files are read again if they changed. */
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
    /** Longest time for one call to the platform. */
    PLATFORM_TIMEOUT_MS(
            "platform.timeoutMs", Kind.INTEGER, "2000", 10, 60_000, "ms", "Longest time for one call to the platform."),
    /** Interval between readings of the VM list. */
    PLATFORM_VM_LIST_MS(
            "platform.vmListIntervalMs",
            Kind.INTEGER,
            "2000",
            100,
            60_000,
            "ms",
            "Interval between readings of the VM list."),
    /** Budget of this router for writes; the budgets of all routers must sum to less than the platform takes. */
    PLATFORM_WRITES_PER_S(
            "platform.writesPerS",
            Kind.NUMBER,
            "20",
            0.1,
            1000,
            "writes/s",
            "Budget of this router for writes; the budgets of all routers must sum to less than the platform takes."),
    /**
     * Budget of this router for reads and watches; the budgets of all routers must sum to less than the platform takes.
     */
    PLATFORM_READS_PER_S(
            "platform.readsPerS",
            Kind.NUMBER,
            "100",
            1,
            2000,
            "reads/s",
            "Budget of this router for reads and watches; the budgets of all routers must sum to less than the platform takes."),
    /** Longest time to connect to an endpoint. */
    ENDPOINT_CONNECT_TIMEOUT_MS(
            "endpoint.connectTimeoutMs",
            Kind.INTEGER,
            "1000",
            10,
            60_000,
            "ms",
            "Longest time to connect to an endpoint."),
    /** Interval between load readings of an endpoint. */
    ENDPOINT_LOAD_INTERVAL_MS(
            "endpoint.loadIntervalMs",
            Kind.INTEGER,
            "500",
            50,
            60_000,
            "ms",
            "Interval between load readings of an endpoint."),
    /** File with the key that this router presents with orders to engines that check them. */
    ENDPOINT_ORDER_KEY_FILE(
            "endpoint.orderKeyFile",
            Kind.TEXT,
            "",
            0,
            0,
            "",
            "File with the key that this router presents with orders to engines that check them."),
    /** Rate at which engines of this data centre may read weights together. */
    PLACEMENT_STORE_BYTES_PER_S(
            "placement.storeBytesPerS",
            Kind.NUMBER,
            "1000000000",
            1,
            1e13,
            "bytes/s",
            "Rate at which engines of this data centre may read weights together."),
    /** TCP port on which a platform's process serves its metrics. */
    METRICS_PORT(
            "metrics.port",
            Kind.INTEGER,
            "9464",
            1,
            65535,
            "port",
            "TCP port on which a platform's process serves its metrics."),
    /** Event loops that serve callers and endpoints. */
    TRAFFIC_THREADS(
            "trafficThreads", Kind.INTEGER, "2", 1, 256, "threads", "Event loops that serve callers and endpoints."),
    /** Largest number of queued requests. */
    QUEUE_MAX_REQUESTS(
            "queue.maxRequests", Kind.INTEGER, "10000", 1, 1_000_000, "requests", "Largest number of queued requests."),
    /** Longest time that running requests may take after a stop was asked for. */
    DRAIN_TIMEOUT_MS(
            "drainTimeoutMs",
            Kind.INTEGER,
            "60000",
            0,
            3_600_000,
            "ms",
            "Longest time that running requests may take after a stop was asked for."),
    /**
     * Interval between writes of the day summary to the platform; also the largest gap that the loss of a router
     * leaves.
     */
    REPORT_INTERVAL_MS(
            "report.intervalMs",
            Kind.INTEGER,
            "300000",
            1000,
            3_600_000,
            "ms",
            "Interval between writes of the day summary to the platform; also the largest gap that the loss of a router leaves."),
    /** Time zone whose midnight ends the day of the report. */
    REPORT_TIME_ZONE(
            "report.timeZone",
            Kind.TEXT,
            "UTC",
            0,
            0,
            "",
            "Time zone whose midnight ends the day of the report, for example America/Chicago."),
    /** Least severe level that is logged: DEBUG, INFO, WARNING or ERROR. */
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

    /** Returns the path in the file, for example {@code caller.port}. */
    public String path() {
        return path;
    }

    /** Returns the type of the value. */
    public Kind kind() {
        return kind;
    }

    /** Returns the default as it would be written in the file. */
    public String defaultValue() {
        return defaultValue;
    }

    /** Returns the smallest number allowed. */
    public double min() {
        return min;
    }

    /** Returns the largest number allowed. */
    public double max() {
        return max;
    }

    /** Returns the unit, or an empty string. */
    public String unit() {
        return unit;
    }

    /** Returns what the setting does, in one sentence. */
    public String description() {
        return description;
    }

    /** Type of a setting. */
    public enum Kind {
        /** A text. */
        TEXT,
        /** A list of texts. */
        TEXT_LIST,
        /** A whole number. */
        INTEGER,
        /** A number. */
        NUMBER
    }
}
