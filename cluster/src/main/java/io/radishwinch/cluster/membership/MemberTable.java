package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.MemberState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Routers of the own data centre, except the own one, with the time of their last change of state. */
final class MemberTable {

    /** Bound on the table, far above the 30 routers of a data centre, so that a faulty peer cannot fill the heap. */
    static final int MAX_MEMBERS = 512;

    /** Departed members are remembered for this long, so that late news about them is recognised as old. */
    static final long REMOVED_RETENTION_MS = 60_000;

    private final Map<String, Row> rows = new HashMap<>();
    private List<MemberInfo> present = List.of();

    /**
     * One member.
     *
     * @param info state
     * @param sinceMs time of the last change of state
     */
    record Row(MemberInfo info, long sinceMs) {}

    /** Takes over newer information and returns whether it was newer. */
    boolean merge(MemberInfo news, long nowMs) {
        Row known = rows.get(news.id());
        if (known != null && !news.supersedes(known.info())) {
            return false;
        }
        if (known == null && (rows.size() >= MAX_MEMBERS || !news.isPresent())) {
            return false;
        }
        rows.put(news.id(), new Row(news, nowMs));
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

    /** Returns present members at the address under another id: the VM was replaced and took over the address. */
    List<MemberInfo> otherMembersAt(Address address, String id) {
        return present.stream()
                .filter(info -> info.address().equals(address) && !info.id().equals(id))
                .toList();
    }

    /** Restarts the time of every suspicion, after a pause of this router. */
    void restartSuspicions(long nowMs) {
        rows.replaceAll((id, row) -> row.info().state() == MemberState.SUSPECT ? new Row(row.info(), nowMs) : row);
    }

    /** Forgets members that departed long ago. */
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
