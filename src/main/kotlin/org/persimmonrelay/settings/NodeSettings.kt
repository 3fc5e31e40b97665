/*
 * Settings of one node, read from a JSON file. The file contains no secrets, only the name of the file or
 * environment variable that holds each secret.
 */
package org.persimmonrelay.settings

import kotlinx.serialization.Serializable

/** Start-up settings of a node; all other configuration comes from the platform. */
@Serializable
public data class NodeSettings(
    val node: String,
    val domain: String,
    val region: String,
    val entry: ListenSettings,
    val admin: ListenSettings,
    val peer: PeerSettings,
    val platform: PlatformSettings,
    val secrets: SecretSettings,
    val bounds: BoundSettings = BoundSettings(),
)

/** An address to listen on. Port 0 selects a free port. */
@Serializable
public data class ListenSettings(val host: String, val port: Int)

/** Listen address for calls between nodes. Without [tls] only loopback addresses are allowed. */
@Serializable
public data class PeerSettings(val host: String, val port: Int, val tls: TlsSettings? = null)

/** Paths of the PEM files for mutual TLS between nodes. */
@Serializable
public data class TlsSettings(val certificateFile: String, val privateKeyFile: String, val trustFile: String)

/** Base URLs of the platform's interfaces. */
@Serializable
public data class PlatformSettings(
    val table: String,
    val objects: String,
    val orders: String,
    val usage: String,
    val hosts: String,
    val weights: String,
)

/** Sources of the secret used to digest API keys and of the operators' bootstrap key. */
@Serializable
public data class SecretSettings(val keyDigest: SecretSource, val operatorKey: SecretSource)

/** Source of a secret: exactly one of [file] and [environment] is set. */
@Serializable
public data class SecretSource(val file: String? = null, val environment: String? = null)

/** Limits and intervals, with their units in the names. */
@Serializable
public data class BoundSettings(
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val openStreams: Int = 20_000,
    val configPollMillis: Long = 2_000,
    val keyFreshnessSeconds: Double = 8.0,
    val leaseSeconds: Double = 10.0,
    val leaseToleranceSeconds: Double = 2.0,
    val progressTimeoutSeconds: Double = 10.0,
    val drainSeconds: Double = 120.0,
    val timelineEvents: Int = 4_096,
    val usageShards: Int = 1,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 8L * 1024 * 1024
        const val DEFAULT_HEADER_BYTES = 32 * 1024
    }
}
