package org.persimmonrelay.node

import arrow.core.Either
import arrow.core.raise.either
import org.persimmonrelay.settings.SecretSettings

/** Secrets that are the same on all nodes. */
public class NodeSecrets(public val keyDigest: ByteArray, public val operatorKey: String) {
    public companion object {
        /** Reads the secrets from the files or environment variables named in [settings]. */
        public fun read(
            settings: SecretSettings,
            reader: SecretReader = SecretReader(),
        ): Either<SecretFailure, NodeSecrets> = either {
            NodeSecrets(
                reader.read(settings.keyDigest).bind(),
                reader.read(settings.operatorKey).bind().decodeToString(),
            )
        }
    }
}
