package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import java.util.concurrent.Executors

/**
 * The one thread that owns a node's control state. Coroutines of [scope] run on it, one at a time between
 * suspension points, so control code needs no locks.
 */
public class ControlThread(name: String) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "control-$name").apply { isDaemon = true } }

    public val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher)

    /** Cancels all control work and waits for it to end. Not to be called from the control thread. */
    public suspend fun stop() {
        scope.coroutineContext.job.cancelAndJoin()
        close()
    }

    override fun close() {
        executor.shutdown()
    }
}
