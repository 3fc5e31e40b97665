package org.persimmonrelay.measure

/** Something that can be measured on one machine at several sizes. */
public interface Measure {
    /** Short name, as given to the command line. */
    public val name: String

    /** Takes the readings and fits them. Runs for up to a minute or so. */
    public fun run(): List<Slope>
}
