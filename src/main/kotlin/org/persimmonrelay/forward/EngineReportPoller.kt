package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.PromptCacheDelta
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An engine and the [spec] that its service configures. */
internal data class PolledEngine(val server: BackendServer, val spec: EngineSpec)

/**
 * Polls engines for reports of their prompt caches and passes these to [chooser], and what else the engines say to
 * [notices]. Runs one coroutine for each engine. Confined to the traffic thread.
 */
internal class EngineReportPoller(
    private val scope: CoroutineScope,
    private val client: ServerClient,
    private val protocol: EngineReportProtocol,
    private val chooser: ServerChooser,
    private val notices: ServerNotices,
    private val clock: Clock,
    private val events: EventSink,
) {
    private val pollers = HashMap<ServerInstance, Job>()

    /** Starts polling new engines of [engines] and stops polling engines that are not in it. */
    fun setEngines(engines: List<PolledEngine>) {
        val wanted = engines.associateBy { it.server.instance }
        pollers.entries.removeIf { (instance, job) ->
            val isRemoved = instance !in wanted
            if (isRemoved) job.cancel()
            isRemoved
        }
        chooser.polling(wanted.keys)
        wanted.filterKeys { it !in pollers }.forEach { (instance, engine) ->
            pollers[instance] = scope.launchSupervised("cache reports", events) { EnginePoller(engine).run() }
        }
    }

    /** Polls one engine. Gets a full snapshot when the engine has restarted or has dropped changes. */
    private inner class EnginePoller(private val engine: PolledEngine) {
        private val server = engine.server
        private var epoch: String? = null
        private var nextChange = 0L
        private var isReporting = false

        suspend fun run() {
            while (true) {
                val response =
                    client.call(
                        server,
                        protocol.deltaRequest(server, nextChange, LONG_POLL_WAIT),
                        LONG_POLL_WAIT + TIMEOUT,
                    )
                val changes = response?.takeIf { it.isOk }?.let { protocol.parseDelta(it.body) }
                if (changes == null) {
                    recordLost(response)
                    delay(RETRY_DELAY)
                } else {
                    notices.reported(server, response.fields)
                    apply(changes)
                    delay(maxOf(MIN_POLL_DELAY, POLL_DELAY_PER_ENGINE * pollers.size))
                }
            }
        }

        private suspend fun apply(changes: PromptCacheDelta) {
            recordReporting(changes)
            val restarted = epoch.let { it != null && it != changes.epoch }
            if ((changes.isIncomplete || restarted) && fetchSnapshot()) return
            epoch = changes.epoch
            nextChange = changes.next
            chooser.cacheChanged(server, engine.spec, changes, clock.now())
        }

        private suspend fun fetchSnapshot(): Boolean {
            val response = client.call(server, protocol.snapshotRequest(server), TIMEOUT)
            val snapshot = response?.takeIf { it.isOk }?.let { protocol.parseSnapshot(it.body) } ?: return false
            epoch = snapshot.epoch
            nextChange = snapshot.next
            chooser.cacheReplaced(server, engine.spec, snapshot, clock.now())
            return true
        }

        private fun recordLost(response: ServerResponse?) {
            if (!isReporting) return
            isReporting = false
            events.record(
                ForwardEvent.ENGINE_REPORTS_LOST,
                "server" with server.instance.id,
                "status" with response?.status,
                "change" with nextChange,
            )
        }

        private fun recordReporting(changes: PromptCacheDelta) {
            if (isReporting) return
            isReporting = true
            events.record(
                ForwardEvent.ENGINE_REPORTS_FOLLOWED,
                "server" with server.instance.id,
                "epoch" with changes.epoch,
                "change" with changes.next,
                "incomplete" with changes.isIncomplete,
            )
        }
    }

    private companion object {
        val LONG_POLL_WAIT = 1.seconds
        val TIMEOUT = 500.milliseconds

        /** Pause between two calls; a busy engine is polled only a few times a second. */
        val MIN_POLL_DELAY = 120.milliseconds

        /** Bounds the calls to all engines together. */
        val POLL_DELAY_PER_ENGINE = 15.milliseconds
        val RETRY_DELAY = 1.seconds
    }
}
