package org.persimmonrelay.peer

import io.grpc.MethodDescriptor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.ByteArrayInputStream
import java.io.InputStream

/** Encodes messages of one type as protobuf. [onBytes] is called with the size of each message in bytes. */
@OptIn(ExperimentalSerializationApi::class)
internal class MessageMarshaller<T : Any>(private val serializer: KSerializer<T>, private val onBytes: (Int) -> Unit) :
    MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream {
        val bytes = ProtoBuf.encodeToByteArray(serializer, value)
        onBytes(bytes.size)
        return ByteArrayInputStream(bytes)
    }

    override fun parse(stream: InputStream): T {
        val bytes = stream.readAllBytes()
        onBytes(bytes.size)
        return ProtoBuf.decodeFromByteArray(serializer, bytes)
    }
}
