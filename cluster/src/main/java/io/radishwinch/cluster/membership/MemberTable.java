package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.MemberState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Other routers of the local data centre, with the time of their last change of state. */
final class MemberTable {

    /** Maximum number of members, so that a faulty peer cannot fill the heap; a data centre has about 30 routers. */
    static final int MAX_MEMBERS = 512;

    /** Time that removed members are kept, in ms, so that late updates about them are recognised as stale. */
    static final long REMOVED_RETENTION_MS = 60_000;

    private final Map<String, Row> rows = new HashMap<>();
    private List<MemberInfo> present = List.of();

    /**
     * One member.
     *
     * @param info state
     * @param sinceMs time of the last change of state, in ms
     */
    record Row(MemberInfo info, long sinceMs) {}

    /** Merges an update and returns whether it was newer than the known state. */
    boolean merge(MemberInfo update, long nowMs) {
        Row known = rows.get(update.id());
        if (known != null && !update.supersedes(known.info())) {
            return false;
        }
        if (known == null && (rows.size() >= MAX_MEMBERS || !update.isPresent())) {
            return false;
        }
        rows.put(update.id(), new Row(update, nowMs));
        refreshPresent();
        return true;
    }

    Row row(String id) {
        return rows.get(id);
    }

    Collection<Row> rows() {
        return rows.values();
    }

    /** Returns alive and suspected members, by id. */
    List<MemberInfo> present() {
        return present;
    }

    /** Returns members in the given state. */
    List<MemberInfo> inState(MemberState state) {
        List<MemberInfo> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.info().state() == state) {
                found.add(row.info());
            }
        }
        found.sort(Comparator.comparing(MemberInfo::id));
        return found;
    }

    /** Returns members at the address under another id, which exist after a VM was replaced and its address reused. */
    List<MemberInfo> otherMembersAt(Address address, String id) {
        return present.stream()
                .filter(info -> info.address().equals(address) && !info.id().equals(id))
                .toList();
    }

    /** Restarts the timeout of every suspicion, after a pause of this router. */
    void restartSuspicions(long nowMs) {
        rows.replaceAll((id, row) -> row.info().state() == MemberState.SUSPECT ? new Row(row.info(), nowMs) : row);
    }

    /** Removes members that left or died longer than {@link #REMOVED_RETENTION_MS} ago. */
    void expireRemoved(long nowMs) {
        rows.values().removeIf(row -> !row.info().isPresent() && nowMs - row.sinceMs() > REMOVED_RETENTION_MS);
    }

    private void refreshPresent() {
        present = rows.values().stream()
                .map(Row::info)
                .filter(MemberInfo::isPresent)
                .sorted(Comparator.comparing(MemberInfo::id))
                .toList();
    }
}
