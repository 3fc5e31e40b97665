package org.persimmonrelay.load

import org.persimmonrelay.platform.NewestChanges

/** Followed feeds whose progress the test sets; records what other nodes have read. */
class FakeFollowedFeeds : FollowedFeeds {
    override var newestChanges = NewestChanges()
    val seenElsewhere = ArrayList<NewestChanges>()

    override fun changesSeenElsewhere(changes: NewestChanges) {
        seenElsewhere += changes
    }
}
