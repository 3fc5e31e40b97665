package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import java.util.concurrent.Executors

/**
 * The single thread on which a node's control state is accessed. Coroutines of [scope] run on it, and only one runs
 * between two suspension points, so control code needs no locks.
 */
public class ControlThread(name: String) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "control-$name").apply { isDaemon = true } }

    public val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher)

    /** Cancels all coroutines of [scope] and waits for them to end. Must not be called on the control thread. */
    public suspend fun stop() {
        scope.coroutineContext.job.cancelAndJoin()
        close()
    }

    override fun close() {
        executor.shutdown()
    }
}
