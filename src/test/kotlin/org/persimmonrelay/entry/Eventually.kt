package org.persimmonrelay.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Waits until [condition] holds; fails after 20 s, far longer than a correct run needs. */
suspend fun eventually(condition: () -> Boolean) = withTimeout(20.seconds) {
    while (!condition()) delay(5.milliseconds)
}
