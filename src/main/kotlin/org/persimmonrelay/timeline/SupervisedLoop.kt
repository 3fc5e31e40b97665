package org.persimmonrelay.timeline

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Events of background loops. */
public enum class LoopEvent(override val number: Int, override val summary: String) : EventCode {
    LOOP_RESTARTED(3100, "A background loop failed with an unexpected error and was started again; report it."),
}

/**
 * Runs [loop], which ends only by cancellation, and starts it again a second after an unexpected error, which is
 * logged: one malformed message must not end a duty of this process for good.
 */
public fun CoroutineScope.launchSupervised(name: String, events: EventSink, loop: suspend () -> Unit): Job = launch {
    while (true) {
        runLogged(name, events, loop)
        delay(RESTART_DELAY)
    }
}

@Suppress("TooGenericExceptionCaught") // Any error of a loop, whichever it is, has to be survived.
private suspend fun runLogged(name: String, events: EventSink, loop: suspend () -> Unit) {
    try {
        loop()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        events.record(LoopEvent.LOOP_RESTARTED, "loop" with name, "why" with e, "at" with e.stackTrace.firstOrNull())
    }
}

private val RESTART_DELAY = 1.seconds
