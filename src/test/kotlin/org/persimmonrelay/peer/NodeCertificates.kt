package org.persimmonrelay.peer

import io.ktor.network.tls.certificates.KeyType
import io.ktor.network.tls.certificates.buildKeyStore
import io.ktor.network.tls.extensions.HashAlgorithm
import org.persimmonrelay.settings.TlsSettings
import java.io.File
import java.nio.file.Path
import java.security.KeyPair
import java.security.KeyStore
import java.security.PrivateKey
import java.security.cert.X509Certificate
import java.util.Base64
import javax.security.auth.x500.X500Principal

/** A certificate authority for tests that writes PEM files below [directory]. */
class NodeCertificates(private val directory: Path, private val name: String) {
    private val password = "test-only"
    private val principal = X500Principal("CN=$name")
    private val store =
        buildKeyStore {
            certificate(name) {
                password = this@NodeCertificates.password
                subject = principal
                keyType = KeyType.CA
                hash = HashAlgorithm.SHA256
                keySizeInBits = KEY_BITS
            }
        }

    val trustFile: String = write("$name-ca.pem", "CERTIFICATE", certificate(store, name).encoded)

    /** Issues a certificate for [domain] and returns TLS settings with it. [trusted] is the path of the CA file. */
    fun issue(domain: String, trusted: String = trustFile): TlsSettings {
        val owner = "$name-$domain"
        val issuer = KeyPair(certificate(store, name).publicKey, key(store, name))
        val issued =
            buildKeyStore {
                certificate(owner) {
                    password = this@NodeCertificates.password
                    subject = X500Principal("CN=$domain")
                    keyType = KeyType.CA
                    hash = HashAlgorithm.SHA256
                    keySizeInBits = KEY_BITS
                    signWith(issuer, certificate(store, name), principal)
                }
            }
        val certificateFile = write("$owner.pem", "CERTIFICATE", certificate(issued, owner).encoded)
        val keyFile = write("$owner.key", "PRIVATE KEY", key(issued, owner).encoded)
        return TlsSettings(certificateFile, keyFile, trusted)
    }

    private fun key(store: KeyStore, alias: String) = store.getKey(alias, password.toCharArray()) as PrivateKey

    private fun certificate(store: KeyStore, alias: String) = store.getCertificate(alias) as X509Certificate

    private fun write(file: String, kind: String, bytes: ByteArray): String {
        val body = Base64.getMimeEncoder().encodeToString(bytes)
        val target = File(directory.toFile(), file)
        target.writeText("-----BEGIN $kind-----\n$body\n-----END $kind-----\n")
        return target.path
    }

    private companion object {
        const val KEY_BITS = 2048
    }
}
