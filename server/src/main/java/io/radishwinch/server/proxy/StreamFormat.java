package io.radishwinch.server.proxy;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.Locale;

/**
 * Format that all parts of a stream must have in common.
 *
 * @param mediaType media type without parameters, in lower case, or an empty string
 * @param contentEncoding content coding in lower case, or an empty string
 */
record StreamFormat(String mediaType, String contentEncoding) {

    static StreamFormat of(MultiMap headers) {
        String mediaType = headers.get(HttpHeaders.CONTENT_TYPE);
        String contentEncoding = headers.get(HttpHeaders.CONTENT_ENCODING);
        return new StreamFormat(
                mediaType == null ? "" : mediaType.split(";", 2)[0].trim().toLowerCase(Locale.ROOT),
                contentEncoding == null ? "" : contentEncoding.trim().toLowerCase(Locale.ROOT));
    }
}
