package org.persimmonrelay.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Waits until [condition] holds; fails when it doesn't within a bound that no healthy run comes near. */
suspend fun eventually(condition: () -> Boolean) = withTimeout(20.seconds) {
    while (!condition()) delay(5.milliseconds)
}
