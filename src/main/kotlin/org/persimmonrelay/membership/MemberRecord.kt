package org.persimmonrelay.membership

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress

/**
 * What nodes tell each other of one member.
 *
 * Of two records of one node the later counts: by [generation], which grows with each start of a process
 * under the node's name, then by [serial], which only the member itself raises, then by the graver state,
 * which is the later one in [MemberState].
 */
@Serializable
internal data class MemberRecord(
    val address: PeerAddress,
    val domain: FailureDomain,
    val region: Region,
    val generation: Long,
    val serial: Int,
    val state: MemberState,
) {
    val node get() = address.node

    fun supersedes(other: MemberRecord): Boolean = ORDER.compare(this, other) > 0

    fun sameLife(other: MemberRecord): Boolean =
        generation == other.generation && address.incarnation == other.address.incarnation

    fun toMember() = Member(address, domain, region, state)

    /** Length of the encoded record in bytes, a little more rather than less. */
    fun estimatedBytes(): Int = FIXED_BYTES + address.node.value.length + address.incarnation.value.length +
        address.host.length + domain.value.length + region.value.length

    companion object {
        private const val FIXED_BYTES = 28
        private val ORDER =
            compareBy<MemberRecord>({ it.generation }, { it.address.incarnation.value }, { it.serial }, { gravity(it) })

        private fun gravity(record: MemberRecord): MemberState = when (record.state) {
            MemberState.ALIVE, MemberState.LEAVING -> MemberState.ALIVE
            else -> record.state
        }
    }
}
