package org.persimmonrelay.clock

/** The system's clocks, as this process reads them. */
public object SystemClock : Clock {
    override fun now(): Moment = Moment(System.nanoTime())

    override fun wallMillis(): Long = System.currentTimeMillis()
}
