package org.persimmonrelay.timeline

/**
 * A kind of event. Each package declares its kinds as an enum that implements this interface; numbers
 * are unique over the product and `docs/EVENTS.md` lists them all.
 */
public interface EventCode {
    /** Unique number, never reused. */
    public val number: Int

    /** Upper-case name; enums provide it. */
    public val name: String

    /** One line for the catalogue: what happened and, for warnings, what to do. */
    public val summary: String
}
