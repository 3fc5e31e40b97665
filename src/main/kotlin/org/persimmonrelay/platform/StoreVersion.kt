package org.persimmonrelay.platform

/**
 * A version of the store's content. A store that comes back from an older copy assigns versions again, so that a
 * version has a meaning only together with [restores], the number of times that the store was restored before.
 */
public data class StoreVersion(val restores: Long = 0, val version: Long = 0) : Comparable<StoreVersion> {
    override fun compareTo(other: StoreVersion): Int =
        compareValuesBy(this, other, StoreVersion::restores, StoreVersion::version)

    public companion object {
        /** Before the first version. */
        public val NONE: StoreVersion = StoreVersion()
    }
}
