package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.ServerInstance

/** What is known from the attempts of one request that have ended. */
internal class AttemptHistory {
    private val servers = HashSet<ServerInstance>()

    /** The servers that were tried. */
    val triedServers: Set<ServerInstance>
        get() = servers

    /** Number of attempts that reached a server. */
    var sends = 0
        private set

    /** Number of attempts in which the request may have run. */
    var runs = 0
        private set

    /** True if a server may have run the request. */
    var mayHaveRun = false

    /** The last attempt that failed; null if none did. */
    var lastFailure: AttemptOutcome.Failed? = null
        private set

    /** The [task] at [server] ended with [outcome]. */
    fun ended(server: BackendServer, task: ServerTask, outcome: AttemptOutcome) {
        if (outcome is AttemptOutcome.Prefilled) return
        servers += server.instance
        when (outcome) {
            is AttemptOutcome.Delivered -> runs++
            is AttemptOutcome.Failed -> failed(task, outcome)
            is AttemptOutcome.NotRun -> if (outcome.reachedServer) sends++
            is AttemptOutcome.Prefilled -> Unit
        }
    }

    private fun failed(task: ServerTask, outcome: AttemptOutcome.Failed) {
        sends++
        if (task is ServerTask.Prefill) return
        runs++
        lastFailure = outcome
    }

    /** The [task] at [server] was ended because another server goes on with the request. */
    fun replaced(server: BackendServer, task: ServerTask) {
        servers += server.instance
        sends++
        if (task !is ServerTask.Prefill) runs++
    }
}
