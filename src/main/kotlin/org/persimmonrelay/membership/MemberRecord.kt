package org.persimmonrelay.membership

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress

/**
 * The state of one member as exchanged between nodes.
 *
 * A record supersedes another one of the same node if it has a higher [generation], which increases with each start of
 * a process under the node's name. At equal generations the incarnation is compared, then [serial], which only the
 * member itself increments, then the state: SUSPECT, FAILED and LEFT, in this order, supersede ALIVE and LEAVING.
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

    fun isSameIncarnation(other: MemberRecord): Boolean =
        generation == other.generation && address.incarnation == other.address.incarnation

    fun toMember() = Member(address, domain, region, state)

    /** Upper estimate of the length of the encoded record in bytes. */
    fun estimatedBytes(): Int = FIXED_BYTES + address.node.value.length + address.incarnation.value.length +
        address.host.length + domain.value.length + region.value.length

    companion object {
        private const val FIXED_BYTES = 28
        private val ORDER =
            compareBy<MemberRecord>({ it.generation }, { it.address.incarnation.value }, { it.serial }, { rank(it) })

        private fun rank(record: MemberRecord): MemberState = when (record.state) {
            MemberState.ALIVE, MemberState.LEAVING -> MemberState.ALIVE
            else -> record.state
        }
    }
}
