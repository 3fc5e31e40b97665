package org.persimmonrelay.measure

import kotlinx.serialization.Serializable
import org.apache.commons.math3.stat.regression.SimpleRegression

/** One reading: the quantity was [y] at size [x]. */
@Serializable
public data class MeasurePoint(val x: Double, val y: Double)

/**
 * Linear growth of a quantity with a size, fitted by least squares.
 *
 * @property what the quantity with its unit, such as "heap bytes".
 * @property per the unit of size, such as "member".
 * @property slope increase of the quantity per additional [per].
 * @property intercept the fitted quantity at size zero.
 * @property spread standard error of [slope].
 * @property points the readings that were fitted.
 */
@Serializable
public data class Slope(
    val name: String,
    val what: String,
    val per: String,
    val slope: Double,
    val intercept: Double,
    val spread: Double,
    val points: List<MeasurePoint>,
) {
    /** The quantity that the fitted line predicts at [size]. */
    public fun at(size: Double): Double = intercept + slope * size

    public companion object {
        private const val MIN_SIZES = 3

        /** Fits [points]. Throws [IllegalArgumentException] if they have fewer than three different sizes. */
        public fun fit(name: String, what: String, per: String, points: List<MeasurePoint>): Slope {
            require(points.distinctBy { it.x }.size >= MIN_SIZES) {
                "$name has ${points.distinctBy { it.x }.size} sizes; measure at least $MIN_SIZES."
            }
            val line = SimpleRegression()
            points.forEach { line.addData(it.x, it.y) }
            return Slope(name, what, per, line.slope, line.intercept, line.slopeStdErr, points)
        }
    }
}
