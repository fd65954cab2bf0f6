package io.radishwinch.cluster.platform;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * Port to the platform's object API and VM list.
 *
 * <p>Every operation may fail with a {@link PlatformException}, whose kind tells whether a write may have taken effect.
 * Versions increase over the whole store, also when it is restored from an older copy, because they contain the era of
 * the store (see {@link StoreVersion}). A value has at most {@link #MAX_VALUE_BYTES} bytes.
 */
public interface PlatformClient {

    /** Maximum size of a value, in bytes. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Version of a key without an object. A put that expects it creates the object. */
    long ABSENT = 0;

    /** Reads one object. */
    Uni<Optional<StoredObject>> get(String key);

    /**
     * Reads the objects whose keys start with the prefix, in key order.
     *
     * @param afterKey key after which the page starts, or an empty string
     * @param limit maximum number of objects
     */
    Uni<Page> list(String prefix, String afterKey, int limit);

    /**
     * Writes an object if its version is the expected one. A version of an earlier era of the store is never the
     * expected one. Fails with {@link PlatformException.Kind#STORE_RESTORED} if the store was restored during the call.
     *
     * @param expectedVersion version from an earlier read, or {@link #ABSENT} to create the object
     * @param nonce unique identifier of this write, stored with the object, which resolves a lost response
     * @return the new version, or the object with another version
     */
    Uni<PutResult> put(String key, long expectedVersion, byte[] value, String nonce);

    /** Deletes an object if its version is the expected one. */
    Uni<PutResult> delete(String key, long expectedVersion, String nonce);

    /**
     * Watches the changes under a prefix. Fails when the connection breaks, the history after {@code fromVersion} has
     * expired or the store was restored since; the caller then lists the objects again.
     *
     * @param fromVersion version after which changes are reported
     */
    Multi<Change> watch(String prefix, long fromVersion);

    /** Reads the lagging list of VMs. */
    Uni<List<Vm>> vms();

    /**
     * Checks at low cost whether the platform responds. Fails quickly if it does not.
     *
     * @param timeoutMs time within which the platform must respond, in ms
     */
    Uni<Void> ping(long timeoutMs);

    /**
     * A stored object.
     *
     * @param key key
     * @param version version of its last write
     * @param value content
     * @param nonce nonce of its last write
     */
    record StoredObject(String key, long version, byte[] value, String nonce) {}

    /**
     * One page of a listing.
     *
     * @param objects objects in key order
     * @param hasMore whether more objects follow
     * @param storeVersion version of the store at the time of the read, from which a watch may start
     */
    record Page(List<StoredObject> objects, boolean hasMore, long storeVersion) {}

    /** Result of a conditional write, decided by the store. */
    sealed interface PutResult {
        /**
         * The write took effect.
         *
         * @param version version of the write
         */
        record Written(long version) implements PutResult {}

        /**
         * The expected version did not match; nothing was written.
         *
         * @param current the object in the store, or empty if there is none
         */
        record Conflict(Optional<StoredObject> current) implements PutResult {}
    }

    /**
     * One change.
     *
     * @param key key
     * @param version version of the change
     * @param value new content, or empty after a deletion
     * @param nonce nonce of the write
     */
    record Change(String key, long version, Optional<byte[]> value, String nonce) {}

    /**
     * One VM of the list.
     *
     * @param id identifier
     * @param dataCentre data centre
     * @param host IP address
     * @param port port of the process on it: the peer port of a router, the HTTP port of an endpoint
     * @param role {@code router}, {@code engine} or {@code service}
     * @param service name of the plain service, or an empty string
     * @param isLeaving whether the VM is about to stop
     */
    record Vm(String id, String dataCentre, String host, int port, String role, String service, boolean isLeaving) {}
}
