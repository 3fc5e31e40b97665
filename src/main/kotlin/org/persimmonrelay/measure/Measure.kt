package org.persimmonrelay.measure

/** A benchmark that runs on one machine at several sizes and fits the growth of cost with size. */
public interface Measure {
    /** Name that selects this measure on the command line. */
    public val name: String

    /** Takes the readings and fits a line to each quantity. Blocks for about a minute at most. */
    public fun run(): List<Slope>
}
