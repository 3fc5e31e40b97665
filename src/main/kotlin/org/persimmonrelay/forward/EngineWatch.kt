package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.PromptCacheDelta
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.route.EngineSpec
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An engine with the shape that its service gives it. */
internal data class WatchedEngine(val server: BackendServer, val shape: EngineSpec)

/** Follows what engines keep of prompts, and tells [chooser]. Confined to the traffic thread. */
internal class EngineWatch(
    private val scope: CoroutineScope,
    private val calls: ServerCalls,
    private val reports: EngineReportProtocol,
    private val chooser: ServerChooser,
    private val clock: Clock,
    private val events: EventSink,
) {
    private val watches = HashMap<ServerInstance, Job>()

    /** Follows [engines] and no others. */
    fun follow(engines: List<WatchedEngine>) {
        val wanted = engines.associateBy { it.server.instance }
        watches.entries.removeIf { (instance, job) ->
            val ends = instance !in wanted
            if (ends) job.cancel()
            ends
        }
        wanted.filterKeys { it !in watches }.forEach { (instance, engine) ->
            watches[instance] = scope.launch { Watch(engine).run() }
        }
    }

    private inner class Watch(private val engine: WatchedEngine) {
        private val server = engine.server
        private var epoch: String? = null
        private var next = 0L
        private var isFollowed = false

        suspend fun run() {
            while (true) {
                val reply = calls.call(server, reports.deltaRequest(server, next, WAIT), WAIT + TIMEOUT)
                val changes = reply?.takeIf { it.isOk }?.let { reports.parseDelta(it.body) }
                if (changes == null) {
                    lost(reply)
                    delay(RETRY_PAUSE)
                } else {
                    take(changes)
                    delay(PAUSE)
                }
            }
        }

        private suspend fun take(changes: PromptCacheDelta) {
            regained(changes)
            val restarted = epoch.let { it != null && it != changes.epoch }
            if ((changes.isIncomplete || restarted) && list()) return
            epoch = changes.epoch
            next = changes.next
            chooser.cacheChanged(server, engine.shape, changes, clock.now())
        }

        private suspend fun list(): Boolean {
            val reply = calls.call(server, reports.snapshotRequest(server), TIMEOUT)
            val list = reply?.takeIf { it.isOk }?.let { reports.parseSnapshot(it.body) } ?: return false
            epoch = list.epoch
            next = list.next
            chooser.cacheReplaced(server, engine.shape, list, clock.now())
            return true
        }

        private fun lost(reply: ServerReply?) {
            if (!isFollowed) return
            isFollowed = false
            events.record(
                ForwardEvent.ENGINE_REPORTS_LOST,
                "server" with server.instance.id,
                "status" with reply?.status,
                "change" with next,
            )
        }

        private fun regained(changes: PromptCacheDelta) {
            if (isFollowed) return
            isFollowed = true
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
        val WAIT = 1.seconds
        val TIMEOUT = 500.milliseconds

        /** Between two calls, so that a busy engine is asked a few times a second. */
        val PAUSE = 120.milliseconds
        val RETRY_PAUSE = 1.seconds
    }
}
