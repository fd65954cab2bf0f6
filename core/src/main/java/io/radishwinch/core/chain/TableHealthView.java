package io.radishwinch.core.chain;

import io.radishwinch.core.health.HealthView;
import io.radishwinch.core.model.ModelSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Adapts the endpoint table to {@link HealthView}. */
final class TableHealthView implements HealthView {

    private final EndpointTable table;

    TableHealthView(EndpointTable table) {
        this.table = table;
    }

    @Override
    public Collection<String> poolsOf(String endpointId) {
        List<String> pools = new ArrayList<>();
        for (HeldRange entry : table.row(endpointId).heldRanges) {
            if (!pools.contains(entry.pool)) {
                pools.add(entry.pool);
            }
        }
        return pools;
    }

    @Override
    public Collection<String> membersOf(String pool) {
        return table.members(pool).stream().map(EndpointRow::id).toList();
    }

    @Override
    public boolean isCoveredWithout(String pool, String endpointId) {
        ModelSpec spec = table.config().pool(pool);
        return spec != null && table.firstUncoveredLayer(spec, table.row(endpointId)) == spec.layerCount();
    }

    @Override
    public String kindOf(String endpointId) {
        return table.row(endpointId).spec().acceleratorKind();
    }

    @Override
    public double layerTimeUs(String endpointId) {
        return table.row(endpointId).measuredLayerTimeUs();
    }
}
