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

/** Compares the floors of contracts with the throughput that the live endpoints can provide. */
final class FloorCheck {
    private FloorCheck() {}

    /**
     * Checks one contract.
     *
     * @param contract contract to be applied
     * @param inEffect contracts in effect; one of the same caller is replaced
     * @param boundTokensPerS highest throughput by model pool, in tokens/s; without any throughput, which is usual
     *     while a fleet is set up, a floor is a warning and no error
     */
    static List<Finding> check(Contract contract, Collection<Contract> inEffect, Map<String, Double> boundTokensPerS) {
        List<Finding> findings = new ArrayList<>();
        double own = floors(contract);
        if (own == 0) {
            return findings;
        }
        double available = available(contract, boundTokensPerS);
        if (available == 0) {
            findings.add(new Finding(
                    "$.ranks",
                    "promises " + rate(own) + ", but no live endpoint serves the contract's models yet",
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
                        "promises " + rate(floor) + ", but the live endpoints of " + pools + " deliver at most "
                                + rate(available),
                        "lower the floor, add endpoints, or repeat with --allow-floors",
                        true));
            }
        }
        if (findings.isEmpty() && own > available) {
            findings.add(new Finding(
                    "$.ranks",
                    "the floors sum to " + rate(own) + ", but the live endpoints of " + pools + " deliver at most "
                            + rate(available),
                    "lower a floor, add endpoints, or repeat with --allow-floors",
                    true));
        }
        if (findings.isEmpty()) {
            checkTogether(contract, inEffect, boundTokensPerS, findings);
        }
        return findings;
    }

    private static void checkTogether(
            Contract contract,
            Collection<Contract> inEffect,
            Map<String, Double> boundTokensPerS,
            List<Finding> findings) {
        double total = floors(contract);
        int others = 0;
        for (Contract other : inEffect) {
            boolean competes = !other.caller().equals(contract.caller())
                    && boundTokensPerS.keySet().stream()
                            .anyMatch(pool -> other.allowsPool(pool) && contract.allowsPool(pool));
            if (competes && floors(other) > 0) {
                total += floors(other);
                others++;
            }
        }
        double available = available(contract, boundTokensPerS);
        if (total > available) {
            findings.add(new Finding(
                    "$.ranks",
                    "together with the floors of " + others + " other contracts for the same models, " + rate(total)
                            + " is promised, but the live endpoints deliver at most " + rate(available),
                    "when all claim their floors at once, each receives a part; lower floors or add endpoints",
                    false));
        }
    }

    private static double floors(Contract contract) {
        return contract.ranks().values().stream()
                .mapToDouble(RankTerms::floorTokensPerS)
                .sum();
    }

    private static double available(Contract contract, Map<String, Double> boundTokensPerS) {
        return boundTokensPerS.entrySet().stream()
                .filter(entry -> contract.allowsPool(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    private static String rate(double tokensPerS) {
        return String.format(Locale.ROOT, "%,.0f tokens/s", tokensPerS);
    }
}
