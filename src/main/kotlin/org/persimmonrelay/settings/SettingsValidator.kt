package org.persimmonrelay.settings

import java.net.URI

/** Validates values: names, addresses, ports, URLs, ranges and dependencies between bounds. */
public class SettingsValidator {
    public fun validate(settings: NodeSettings): List<SettingsError> =
        names(settings) + addresses(settings) + platform(settings.platform) + secrets(settings.secrets) +
            bounds(settings.bounds)

    private fun names(settings: NodeSettings): List<SettingsError> = listOf(
        "$.node" to settings.node,
        "$.domain" to settings.domain,
        "$.region" to settings.region,
    ).filterNot { (_, value) -> NAME.matches(value) }
        .map { (path, value) ->
            SettingsError(path, "\"$value\"", "a name of a-z, 0-9, - and .", "use lower-case letters and digits")
        }

    private fun addresses(settings: NodeSettings): List<SettingsError> =
        address("$.entry", settings.entry.host, settings.entry.port) +
            address("$.admin", settings.admin.host, settings.admin.port) +
            address("$.peer", settings.peer.host, settings.peer.port) +
            peerTls(settings.peer)

    private fun address(path: String, host: String, port: Int): List<SettingsError> = buildList {
        if (!IP_ADDRESS.matches(host)) {
            add(
                SettingsError("$path.host", "\"$host\"", "an IP address", "write the host's IP address, not its name"),
            )
        }
        if (port !in 0..MAX_PORT) {
            add(SettingsError("$path.port", "$port", "0 to $MAX_PORT", "choose a port, or 0 for a free one"))
        }
    }

    private fun peerTls(peer: PeerSettings): List<SettingsError> {
        if (peer.tls != null || isLoopback(peer.host)) return emptyList()
        val remedy = "add certificateFile, privateKeyFile and trustFile, or listen on 127.0.0.1"
        return listOf(SettingsError("$.peer.tls", "nothing", "mutual TLS outside loopback", remedy))
    }

    private fun platform(platform: PlatformSettings): List<SettingsError> = listOf(
        "table" to platform.table,
        "objects" to platform.objects,
        "orders" to platform.orders,
        "usage" to platform.usage,
        "hosts" to platform.hosts,
        "weights" to platform.weights,
    ).filterNot { (_, value) -> isHttpUrl(value) }
        .map { (name, value) ->
            SettingsError("$.platform.$name", "\"$value\"", "an http or https URL", "write http://HOST:PORT/PATH")
        }

    private fun secrets(secrets: SecretSettings): List<SettingsError> =
        secret("$.secrets.keyDigest", secrets.keyDigest) + secret("$.secrets.operatorKey", secrets.operatorKey)

    private fun secret(path: String, source: SecretSource): List<SettingsError> {
        if ((source.file == null) != (source.environment == null)) return emptyList()
        val found = if (source.file == null) "neither" else "both"
        return listOf(SettingsError(path, found, "one of file and environment", "set exactly one of them"))
    }

    private fun bounds(bounds: BoundSettings): List<SettingsError> = ranges(bounds) + relations(bounds)

    private fun ranges(bounds: BoundSettings): List<SettingsError> = listOf(
        Range("bodyBytes", bounds.bodyBytes.toDouble(), 1.0),
        Range("headerBytes", bounds.headerBytes.toDouble(), MIN_HEADER_BYTES),
        Range("openStreams", bounds.openStreams.toDouble(), 1.0),
        Range("configPollMillis", bounds.configPollMillis.toDouble(), MIN_POLL_MILLIS),
        Range("keyFreshnessSeconds", bounds.keyFreshnessSeconds, 1.0),
        Range("leaseSeconds", bounds.leaseSeconds, 1.0),
        Range("leaseToleranceSeconds", bounds.leaseToleranceSeconds, 0.0),
        Range("progressTimeoutSeconds", bounds.progressTimeoutSeconds, MIN_TIMEOUT_SECONDS),
        Range("drainSeconds", bounds.drainSeconds, 0.0),
        Range("timelineEvents", bounds.timelineEvents.toDouble(), 1.0),
        Range("usageShards", bounds.usageShards.toDouble(), 1.0),
    ).filter { it.value < it.least }
        .map { SettingsError("$.bounds.${it.name}", "${it.value}", "at least ${it.least}", "increase it") }

    private fun relations(bounds: BoundSettings): List<SettingsError> = buildList {
        if (bounds.keyFreshnessSeconds * MILLIS_PER_SECOND < 2 * bounds.configPollMillis) {
            val expected = "at least twice configPollMillis"
            val remedy = "increase it, or poll more often; otherwise healthy nodes reject keys"
            add(SettingsError("$.bounds.keyFreshnessSeconds", "${bounds.keyFreshnessSeconds}", expected, remedy))
        }
        if (bounds.keyFreshnessSeconds > MAX_FRESHNESS_SECONDS) {
            val expected = "at most $MAX_FRESHNESS_SECONDS"
            val remedy = "lower it; a withdrawn key has to stop working within 10 s on an isolated node"
            add(SettingsError("$.bounds.keyFreshnessSeconds", "${bounds.keyFreshnessSeconds}", expected, remedy))
        }
        if (bounds.leaseToleranceSeconds >= bounds.leaseSeconds) {
            val remedy = "lower it, or lengthen the lease"
            add(
                SettingsError(
                    "$.bounds.leaseToleranceSeconds",
                    "${bounds.leaseToleranceSeconds}",
                    "less than leaseSeconds",
                    remedy,
                ),
            )
        }
    }

    private fun isHttpUrl(text: String): Boolean {
        val uri = runCatching { URI(text) }.getOrNull() ?: return false
        return uri.scheme in setOf("http", "https") && uri.host != null
    }

    private fun isLoopback(host: String) = host.startsWith("127.") || host == "::1"

    private data class Range(val name: String, val value: Double, val least: Double)

    private companion object {
        const val MAX_PORT = 65_535
        const val MIN_HEADER_BYTES = 1024.0
        const val MIN_POLL_MILLIS = 100.0
        const val MIN_TIMEOUT_SECONDS = 0.1
        const val MAX_FRESHNESS_SECONDS = 9.0
        const val MILLIS_PER_SECOND = 1000
        val NAME = Regex("[a-z0-9][a-z0-9.-]{0,62}")
        val IP_ADDRESS = Regex("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+")
    }
}
