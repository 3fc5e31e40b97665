package org.persimmonrelay.clock

/** The clock of the running process. */
public object SystemClock : Clock {
    override fun now(): Moment = Moment(System.nanoTime())

    override fun wallMillis(): Long = System.currentTimeMillis()
}
