package io.radishwinch.core.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Open-addressing hash map of links by the index of the receiving endpoint. Keys are not boxed, because planning looks
 * up many links.
 */
final class LinkMap {

    private int[] keys = new int[8];
    private Link[] links = new Link[8];
    private int size;

    int size() {
        return size;
    }

    Link get(int toIndex) {
        int mask = keys.length - 1;
        int position = hash(toIndex) & mask;
        while (links[position] != null) {
            if (keys[position] == toIndex) {
                return links[position];
            }
            position = (position + 1) & mask;
        }
        return null;
    }

    /** Returns all links in the order of the hash table. */
    List<Link> all() {
        List<Link> all = new ArrayList<>(size);
        for (Link link : links) {
            if (link != null) {
                all.add(link);
            }
        }
        return all;
    }

    /** Removes the links to removed endpoints. */
    void removeLinksToRemovedEndpoints() {
        List<Link> kept = all();
        kept.removeIf(link -> link.to.isRemoved);
        Arrays.fill(links, null);
        size = 0;
        kept.forEach(link -> put(link.to.index(), link));
    }

    /** Adds a link; the map must not contain one to the same endpoint. */
    void put(int toIndex, Link link) {
        if (size * 2 >= keys.length) {
            grow();
        }
        insert(toIndex, link);
        size++;
    }

    private void insert(int toIndex, Link link) {
        int mask = keys.length - 1;
        int position = hash(toIndex) & mask;
        while (links[position] != null) {
            position = (position + 1) & mask;
        }
        keys[position] = toIndex;
        links[position] = link;
    }

    private void grow() {
        int[] oldKeys = keys;
        Link[] oldLinks = links;
        keys = new int[oldKeys.length * 2];
        links = new Link[oldLinks.length * 2];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldLinks[i] != null) {
                insert(oldKeys[i], oldLinks[i]);
            }
        }
    }

    /**
     * Distributes consecutive indexes over the table; the multiplier is 2^32 divided by the golden ratio (Knuth, TAOCP
     * 3, 6.4).
     */
    private static int hash(int index) {
        int product = index * 0x9E3779B9;
        return product ^ (product >>> 16);
    }
}
