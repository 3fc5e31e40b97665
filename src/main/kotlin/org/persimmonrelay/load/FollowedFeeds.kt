package org.persimmonrelay.load

import org.persimmonrelay.platform.NewestChanges

/** The tables of the store that this node follows, as the exchange of load reports needs them. Thread-safe. */
public interface FollowedFeeds {
    /** The newest changes that this node has read. */
    public val newestChanges: NewestChanges

    /** Another node has read [changes]; a table in which this node has missed some is read again. */
    public fun changesSeenElsewhere(changes: NewestChanges)
}
