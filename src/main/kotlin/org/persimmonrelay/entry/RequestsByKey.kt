package org.persimmonrelay.entry

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.persimmonrelay.catalog.KeyState
import org.persimmonrelay.catalog.KeyStateLookup
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Waiting and running requests, by the key they depend on. A periodic sweep checks each key once for all its requests,
 * so that the cost grows with the number of keys in use, not with the number of open streams. Thread-safe.
 */
public class RequestsByKey(
    private val keyStates: KeyStateLookup,
    private val clock: Clock,
    private val interval: Duration,
    private val withdrawnGrace: Duration,
) {
    private val activeRequests = ConcurrentHashMap<String, MutableSet<WithdrawableRequest>>()
    private val withdrawnSince = HashMap<String, Moment>()

    public fun add(keyName: String, request: WithdrawableRequest) {
        activeRequests.compute(keyName) { _, requests ->
            (requests ?: ConcurrentHashMap.newKeySet()).apply { add(request) }
        }
    }

    public fun remove(keyName: String, request: WithdrawableRequest) {
        activeRequests.computeIfPresent(keyName) { _, requests -> requests.apply { remove(request) }.ifEmpty { null } }
    }

    /**
     * Runs [block]; null if it was cancelled because the key was withdrawn. Null as [keyName] means no key to check.
     */
    internal suspend fun <T : Any> runWithdrawable(keyName: String?, block: suspend () -> T): T? {
        if (keyName == null) return block()
        return coroutineScope {
            val running = async { block() }
            val request = WithdrawableCall(running)
            add(keyName, request)
            try {
                running.join()
            } finally {
                remove(keyName, request)
            }
            if (running.isCancelled) null else running.await()
        }
    }

    /** Sweeps every [interval] until cancelled. */
    public suspend fun run() {
        while (true) {
            delay(interval)
            sweep(clock.now())
        }
    }

    /** Notifies or cancels the requests whose key is no longer valid. */
    public fun sweep(now: Moment) {
        withdrawnSince.keys.retainAll(activeRequests.keys)
        activeRequests.forEach { (key, requests) ->
            when (keyStates.stateOf(key)) {
                KeyState.VALID -> withdrawnSince.remove(key)
                KeyState.CUT -> requests.forEach(WithdrawableRequest::cancel)
                KeyState.WITHDRAWN -> handleWithdrawn(key, requests, now)
            }
        }
    }

    private fun handleWithdrawn(key: String, requests: Set<WithdrawableRequest>, now: Moment) {
        val since = withdrawnSince.getOrPut(key) { now }
        requests.forEach(WithdrawableRequest::onKeyWithdrawn)
        if (now - since >= withdrawnGrace) requests.forEach(WithdrawableRequest::cancel)
    }

    private class WithdrawableCall(private val running: Job) : WithdrawableRequest {
        override fun onKeyWithdrawn() = Unit

        override fun cancel() = running.cancel()
    }
}
