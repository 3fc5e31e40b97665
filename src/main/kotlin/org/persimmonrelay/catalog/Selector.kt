package org.persimmonrelay.catalog

/** A condition on labels. */
public sealed interface Requirement {
    public val key: String

    /** True when [labels] satisfy the requirement. */
    public fun matches(labels: Map<String, String>): Boolean

    /** `key = value` */
    public data class Equal(override val key: String, val value: String) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = labels[key] == value
    }

    /** `key != value`; also satisfied when the label is absent. */
    public data class NotEqual(override val key: String, val value: String) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = labels[key] != value
    }

    /** `key in (a, b)` */
    public data class In(override val key: String, val values: Set<String>) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = labels[key] in values
    }

    /** `key notin (a, b)`; also satisfied when the label is absent. */
    public data class NotIn(override val key: String, val values: Set<String>) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = labels[key] !in values
    }

    /** `key` */
    public data class Exists(override val key: String) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = key in labels
    }

    /** `!key` */
    public data class Absent(override val key: String) : Requirement {
        override fun matches(labels: Map<String, String>): Boolean = key !in labels
    }
}

/** A parsed label selector. Labels must satisfy all [requirements]; an empty list matches every object. */
public data class Selector(val requirements: List<Requirement>) {
    public fun matches(labels: Map<String, String>): Boolean = requirements.all { it.matches(labels) }

    public companion object {
        /** Matches every object. */
        public val ALL: Selector = Selector(emptyList())
    }
}

/** A syntax error in a selector. [position] is the index of the character, starting at 0. */
public data class SelectorError(val text: String, val position: Int, val expected: String, val found: String) {
    /** One line with the position, what was expected there and what was found. */
    public val message: String
        get() = "Selector \"$text\", character ${position + 1}: expected $expected but found $found."
}
