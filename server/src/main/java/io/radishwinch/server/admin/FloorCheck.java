package io.radishwinch.server.admin;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares the floors of contracts with the throughput bounds of the live endpoints. */
final class FloorCheck {
    private FloorCheck() {}

    /**
     * Checks the floors of one contract. Returns an error for floors that exceed the throughput bound, and a warning if
     * they exceed it only together with the floors of other contracts.
     *
     * @param contract contract to check
     * @param inEffect contracts in effect; a contract of the same caller is ignored
     * @param boundTokensPerS throughput bounds by model pool, in tokens/s. If they are all 0, which is usual while a
     *     fleet is set up, a floor causes a warning instead of an error.
     */
    static List<Finding> check(Contract contract, Collection<Contract> inEffect, Map<String, Double> boundTokensPerS) {
        List<Finding> findings = new ArrayList<>();
        double contractFloor = totalFloorTokensPerS(contract);
        if (contractFloor == 0) {
            return findings;
        }
        double available = availableTokensPerS(contract, boundTokensPerS);
        if (available == 0) {
            findings.add(new Finding(
                    "$.ranks",
                    "promises " + formatRate(contractFloor) + ", but no live endpoint serves the contract's models yet",
                    "the floor holds once endpoints have loaded a model; see 'radishwinch status'",
                    false));
            return findings;
        }
        String pools = contract.models().isEmpty()
                ? "all models"
                : "the contract's models (" + String.join(", ", new TreeSet<>(contract.models())) + ")";
        for (Map.Entry<Rank, RankTerms> entry : new TreeMap<>(contract.ranks()).entrySet()) {
            double floor = entry.getValue().floorTokensPerS();
            if (floor > available) {
                findings.add(new Finding(
                        "$.ranks." + entry.getKey().wireName() + ".floorTokensPerS",
                        "promises " + formatRate(floor) + ", but the live endpoints of " + pools + " deliver at most "
                                + formatRate(available),
                        "lower the floor, add endpoints, or repeat with --allow-floors",
                        true));
            }
        }
        if (findings.isEmpty() && contractFloor > available) {
            findings.add(new Finding(
                    "$.ranks",
                    "the floors sum to " + formatRate(contractFloor) + ", but the live endpoints of " + pools
                            + " deliver at most " + formatRate(available),
                    "lower a floor, add endpoints, or repeat with --allow-floors",
                    true));
        }
        if (findings.isEmpty()) {
            checkCombinedFloors(contract, inEffect, boundTokensPerS, findings);
        }
        return findings;
    }

    private static void checkCombinedFloors(
            Contract contract,
            Collection<Contract> inEffect,
            Map<String, Double> boundTokensPerS,
            List<Finding> findings) {
        double total = totalFloorTokensPerS(contract);
        int others = 0;
        for (Contract other : inEffect) {
            boolean competes = !other.caller().equals(contract.caller())
                    && boundTokensPerS.keySet().stream()
                            .anyMatch(pool -> other.allowsPool(pool) && contract.allowsPool(pool));
            if (competes && totalFloorTokensPerS(other) > 0) {
                total += totalFloorTokensPerS(other);
                others++;
            }
        }
        double available = availableTokensPerS(contract, boundTokensPerS);
        if (total > available) {
            findings.add(new Finding(
                    "$.ranks",
                    "together with the floors of " + others + " other contracts for the same models, "
                            + formatRate(total) + " is promised, but the live endpoints deliver at most "
                            + formatRate(available),
                    "when all claim their floors at once, each receives a part; lower floors or add endpoints",
                    false));
        }
    }

    private static double totalFloorTokensPerS(Contract contract) {
        return contract.ranks().values().stream()
                .mapToDouble(RankTerms::floorTokensPerS)
                .sum();
    }

    private static double availableTokensPerS(Contract contract, Map<String, Double> boundTokensPerS) {
        return boundTokensPerS.entrySet().stream()
                .filter(entry -> contract.allowsPool(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    private static String formatRate(double tokensPerS) {
        return String.format(Locale.ROOT, "%,.0f tokens/s", tokensPerS);
    }
}
