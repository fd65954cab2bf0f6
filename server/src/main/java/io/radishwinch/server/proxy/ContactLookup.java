package io.radishwinch.server.proxy;

import java.util.Optional;

/** Looks up endpoints by identifier and by address. Implementations are thread-safe. */
public interface ContactLookup {

    /** Returns the contact of an endpoint, or empty if the endpoint was removed or is unknown. */
    Optional<EndpointContact> contact(String endpointId);

    /** Returns the identifier of the endpoint that currently uses an address, or empty if there is none. */
    Optional<String> endpointAt(String address);

    /** Returns whether an endpoint is unknown here and has ended, as a later lifetime of it is known. */
    default boolean isFollowedByLaterLifetime(String endpointId) {
        return false;
    }
}
