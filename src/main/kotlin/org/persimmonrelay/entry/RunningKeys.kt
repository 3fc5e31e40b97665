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
 * The requests that wait or run, by key. One sweep for all of them asks after each key once, so that the
 * cost grows with the keys in use and not with the open streams. Thread-safe.
 */
public class RunningKeys(
    private val withdrawals: KeyStateLookup,
    private val clock: Clock,
    private val period: Duration,
    private val finishBound: Duration,
) {
    private val work = ConcurrentHashMap<String, MutableSet<KeyedWork>>()
    private val withdrawnSince = HashMap<String, Moment>()

    public fun add(keyName: String, item: KeyedWork) {
        work.compute(keyName) { _, items -> (items ?: ConcurrentHashMap.newKeySet()).apply { add(item) } }
    }

    public fun remove(keyName: String, item: KeyedWork) {
        work.computeIfPresent(keyName) { _, items -> items.apply { remove(item) }.ifEmpty { null } }
    }

    /** Runs [block]; null when it was cut because [keyName] was withdrawn. Without a key nothing cuts it. */
    internal suspend fun <T : Any> guard(keyName: String?, block: suspend () -> T): T? {
        if (keyName == null) return block()
        return coroutineScope {
            val running = async { block() }
            val item = CuttableWork(running)
            add(keyName, item)
            try {
                running.join()
            } finally {
                remove(keyName, item)
            }
            if (running.isCancelled) null else running.await()
        }
    }

    /** Sweeps until cancelled. */
    public suspend fun run() {
        while (true) {
            delay(period)
            sweep(clock.now())
        }
    }

    /** Tells the requests whose key is no longer valid. */
    public fun sweep(now: Moment) {
        withdrawnSince.keys.retainAll(work.keys)
        work.forEach { (key, items) ->
            when (withdrawals.stateOf(key)) {
                KeyState.VALID -> withdrawnSince.remove(key)
                KeyState.CUT -> items.forEach(KeyedWork::onCut)
                KeyState.WITHDRAWN -> withdrawn(key, items, now)
            }
        }
    }

    private fun withdrawn(key: String, items: Set<KeyedWork>, now: Moment) {
        val since = withdrawnSince.getOrPut(key) { now }
        items.forEach(KeyedWork::onWithdrawn)
        if (now - since >= finishBound) items.forEach(KeyedWork::onCut)
    }

    private class CuttableWork(private val running: Job) : KeyedWork {
        override fun onWithdrawn() = Unit

        override fun onCut() = running.cancel()
    }
}
