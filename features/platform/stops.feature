Feature: a planned stop ends no request that was accepted without an answer

  Scenario: a request that waits for its stages is answered before its daemon ends
    # Seen: a daemon that had been asked to stop read a caller's whole request
    # three seconds later. Four seconds after that the process was gone, and
    # the caller's connection closed with neither an answer nor a refusal.
    # How: the request waited, for what is not known; here it is for its stages.
    # No replica was at work on it, and the daemon had less than five seconds.
    # Cause: a request's waiting was bounded by its own deadline only, and the
    # daemon's end cancelled whatever still waited, without an answer.
    # Proof: with the code of that time and a stage that takes ten seconds the
    # connection closed at the same moment of the stop.
    When a daemon is asked to stop and reads a request that its stages hold up
    Then the caller is told before the end that it did not run
    And nothing was cut by the daemon's end

  Scenario: a request that came before the stop waits for its stages
    # Guards against bounding only what comes after the signal.
    When a daemon is asked to stop under a request that its stages hold up
    Then the caller is told before the end that it did not run
    And nothing was cut by the daemon's end

  Scenario: a booking that its replica still holds at the daemon's end
    # Guards against a caller that learns nothing, or a false "not run".
    When a daemon is asked to stop while a replica holds a booking for longer
    Then the caller is told before the end that its outcome is unknown
    And nothing was cut by the daemon's end

  Scenario: a booking on an open connection in the last second before the end
    # Guards against a booking that is taken late in the grace, handed to a
    # replica that needs longer than what is left, and cut without an answer.
    When a booking comes in the last second of a stop, and its replica holds it
    Then the caller learns before the end what is known of its booking
    And nothing was cut by the daemon's end

  Scenario: a body that arrives while nothing else is in flight
    # Guards against a stop that takes a half-read request for an idle
    # connection.
    When the body of a request arrives over the moment at which a stop is idle
    Then the caller has the replica's answer

  Scenario: a body that does not end before its daemon
    # Guards against a connection that closes in the middle of a body.
    When a daemon is asked to stop under a body that goes on for longer
    Then the caller is told before the end that it did not run

  Scenario: a caller that does not read does not hold its daemon's end
    # Guards against a stop that ends by SIGKILL, without its last log lines.
    When a daemon is asked to stop under an answer that nobody reads
    Then it has ended by itself before it would be killed

  Scenario: a stop whose announcement fails is a stop all the same
    # Guards against an error that ends the daemon with requests in flight.
    When a daemon is asked to stop under a request and can't announce it
    Then the request is answered before the daemon ends

  Scenario: a daemon out of descriptors goes on with the connections it has
    # Guards against the end of a daemon that can't accept one more caller.
    When more callers come to a daemon than it has descriptors for
    Then the request under way is answered, and new callers are served later

  Scenario: a daemon that makes pieces for others ends after them
    # Guards against work that is thrown away, and seconds that others' callers
    # wait for it to be made again.
    When a daemon is asked to stop while it makes another one's pieces
    Then they are made once, and the other one's caller has its answer

  Scenario: requests that come behind another one on a connection
    # Guards against a request that was read and is dropped with its connection.
    When two requests come at once on a connection to a stopping daemon
    Then both are answered, and only the last answer asks the caller to leave

  Scenario: a stream that comes once callers know other addresses
    # Guards against streams that are begun though the stop may cut them.
    When a stream comes three seconds after a daemon was asked to stop
    Then the caller is told at once that it did not run

  Scenario: streams that outlast their daemon's stop are logged as cut
    # Guards against logs that name the caller as the one who left.
    When a daemon is asked to stop under streams that last longer
    Then the log tells how many requests were cut, and where each one was
