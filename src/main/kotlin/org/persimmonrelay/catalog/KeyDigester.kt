package org.persimmonrelay.catalog

import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Computes keyed digests of keys, so that rows, snapshots and views contain no usable keys. All nodes share the
 * [secret]. Thread-safe.
 */
public class KeyDigester(secret: ByteArray) {
    private val prototype: Mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(secret, ALGORITHM)) }

    init {
        require(secret.size >= MIN_SECRET_BYTES) {
            "The key digest secret has ${secret.size} bytes; use at least $MIN_SECRET_BYTES random bytes."
        }
    }

    /** The digest of [presented] in lower-case hex. */
    public fun digest(presented: String): String = hex((prototype.clone() as Mac).doFinal(presented.toByteArray()))

    /** True when [digest] is the digest of [presented]; compares in constant time. */
    public fun matches(presented: String, digest: String): Boolean =
        MessageDigest.isEqual(digest(presented).toByteArray(), digest.toByteArray())

    private fun hex(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val MIN_SECRET_BYTES = 16
    }
}
