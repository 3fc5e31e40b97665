/*
 * Settings of one node, read from a JSON file. Secrets are never in the file itself: each is named by the
 * file or the environment variable that holds it.
 */
package org.persimmonrelay.settings

import kotlinx.serialization.Serializable

/** Everything that a node is told at its start; all else comes from the platform. */
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

/** An address to listen on. Port 0 takes a free one. */
@Serializable
public data class ListenSettings(val host: String, val port: Int)

/** The inner protocol's address. Without [tls] only loopback addresses are allowed. */
@Serializable
public data class PeerSettings(val host: String, val port: Int, val tls: TlsSettings? = null)

/** PEM files for mutual TLS between nodes. */
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

/** Where secrets are found: the one that keys are digested with, and the first operator's key. */
@Serializable
public data class SecretSettings(val keyDigest: SecretSource, val operatorKey: SecretSource)

/** A secret's place: exactly one of [file] and [environment]. */
@Serializable
public data class SecretSource(val file: String? = null, val environment: String? = null)

/** Limits and periods, with their units in the names. */
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
