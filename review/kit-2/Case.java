/** A test case that starts routers as processes. */
interface Case {

	/**
	 * Plays the case.
	 * @param bench the stand-ins
	 * @param trouble whether the disruption takes place
	 * @return whether the rule was kept
	 * @throws Exception if the case cannot run
	 */
	boolean play(Bench bench, boolean trouble) throws Exception;

}
