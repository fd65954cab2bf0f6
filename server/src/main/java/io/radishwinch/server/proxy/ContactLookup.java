package io.radishwinch.server.proxy;

import java.util.Optional;

/** Contacts of endpoints; safe for use by several threads. */
public interface ContactLookup {

    /** Returns the contact of an endpoint, or empty if it is not known any more. */
    Optional<EndpointContact> contact(String endpointId);

    /** Returns the identifier of the endpoint that is reached at an address now, or empty if there is none. */
    Optional<String> endpointAt(String address);
}
