package org.persimmonrelay.fleet.plan

import kotlinx.serialization.Serializable

/**
 * Settings of the role controller.
 *
 * Roles should carry the mix, now and [aheadSeconds] ahead, at [busyShare] of their capacity. When others carry
 * more of it, an engine is changed, if that adds the work of [minGain] engines beyond what draining and
 * [changeSeconds] cost over [horizonSeconds]. At most [maxShareAtOnce] of a pool is away at a time, and an
 * engine keeps a role for [dwellSeconds] at least.
 */
@Serializable
public data class RoleSettings(
    val busyShare: Double = 0.85,
    val minGain: Double = 0.05,
    val horizonSeconds: Double = 60.0,
    val aheadSeconds: Double = 25.0,
    val changeSeconds: Double = 5.0,
    val drainSeconds: Double = 8.0,
    val maxShareAtOnce: Double = 0.13,
    val dwellSeconds: Double = 45.0,
    val fastSeconds: Double = 10.0,
    val slowSeconds: Double = 40.0,
    val mixedPrefillEfficiency: Double = 0.62,
    val mixedDecodeEfficiency: Double = 0.7,
)
