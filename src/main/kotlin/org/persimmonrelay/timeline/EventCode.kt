package org.persimmonrelay.timeline

/**
 * A type of event. Each package declares its types as an enum that implements this interface. Numbers are unique
 * across all packages; `docs/EVENTS.md` lists them.
 */
public interface EventCode {
    /** Unique number; never reused for another event. */
    public val number: Int

    /** Upper-case name, provided by the enum. */
    public val name: String

    /** One-line description for log and catalogue: what happened and, for warnings, what to do. */
    public val summary: String
}
