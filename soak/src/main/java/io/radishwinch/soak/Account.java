package io.radishwinch.soak;

import io.radishwinch.soak.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * Client account of a class of requests, which every configuration of a run has with the same keys.
 *
 * @param requests class of the requests
 * @param number number of the account in its class, from 1
 */
record Account(RequestClass requests, int number) {

    /** Returns the accounts of a class, in the order of their numbers. */
    static List<Account> of(RequestClass requests) {
        List<Account> accounts = new ArrayList<>();
        for (int number = 1; number <= requests.accounts(); number++) {
            accounts.add(new Account(requests, number));
        }
        return accounts;
    }

    /** Returns the name of the caller in the contracts. */
    String name() {
        return number == 1 ? requests.name() : requests.name() + "." + number;
    }

    /** Returns a key that callers use, by its number from 1. */
    String key(int keyNumber) {
        return "soak-" + name() + "-" + keyNumber;
    }

    /** Returns the keys that callers use. */
    List<String> keys() {
        List<String> keys = new ArrayList<>();
        for (int keyNumber = 1; keyNumber <= requests.keys(); keyNumber++) {
            keys.add(key(keyNumber));
        }
        return keys;
    }
}
