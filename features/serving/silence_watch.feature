Feature: attempts whose replica is silent

  Scenario: a daemon that was suspended reads before it counts a silence
    # Guards against sound replicas that are left because the daemon itself was
    # suspended: its timers have expired before it has read what arrived.
    Given an attempt whose replica may be silent for 1500 ms
    When what arrived meanwhile is read 10 ms after that
    Then no next attempt was prepared before 3010 ms

  Scenario: a next attempt that can't be prepared is asked for again
    # Guards against a silent replica that is never left as the first retry is
    # refused, and against a daemon that asks without a pause.
    Given an attempt whose replica may be silent for 1500 ms
    And a next attempt that can be prepared at the fourth time
    When nothing comes for 10000 ms
    Then the next attempt was prepared 4 times, at least 250 ms apart
    And the attempt was given up between 2250 and 2600 ms
    And its silence was reported once, between 1500 and 1600 ms

  Scenario: what comes while a next attempt is prepared ends the preparation
    # Guards against a sound replica that is left though it goes on.
    Given an attempt whose replica may be silent for 1500 ms
    And a next attempt that takes 500 ms to prepare
    When something comes after 1800 ms and after 3000 ms
    Then its preparation was cancelled, and the attempt goes on

  Scenario: a next attempt that is ready as something comes is not needed
    # Guards against a sound replica that is left as its event is just read,
    # with a preparation that ends before it notices that it is cancelled.
    Given an attempt whose replica may be silent for 1500 ms
    And a next attempt that takes 500 ms to prepare, whatever is cancelled
    When something comes after 1800 ms and after 3000 ms
    Then the attempt goes on

  Scenario: a caller that reads slowly is no silence of the replica
    # Guards against a replica that is left as nothing is read from it.
    Given an attempt whose replica may be silent for 1500 ms
    When nothing is read from it between 1000 and 9000 ms
    Then no next attempt was prepared before 10500 ms

  Scenario Outline: a next attempt whose preparation <ends>
    # Guards against retries and results of stages that nobody returns.
    Given a stream at one of two replicas, whose inputs are freed
    When a next attempt is prepared, and <ends>
    Then it can't follow, and its retry and its inputs are returned

    Examples: ends of preparations
      | ends                               |
      | its stages are refused             |
      | is cancelled while its stages run  |
      | the other replica leaves meanwhile |

  Scenario: a stream goes on elsewhere with the retry that was reserved
    # Guards against a second charge for a retry, which may be refused once the
    # attempt is given up.
    Given a stream at one of two replicas, whose inputs are freed
    And a budget of one retry
    When a next attempt is prepared and the current one given up
    Then the stream may be retried, with 1 charged

  Scenario: inputs of the next attempt replace what is left of the old ones
    # Guards against results that are freed twice, or never.
    Given a stream at one of two replicas, of whose inputs a part is left
    When a next attempt is prepared and the current one given up
    Then the stream may be retried, with 1 charged
    And its inputs are the new ones, and just the old ones are freed

  Scenario: a stream that can't be resumed is not given up
    # Guards against a stream that is left after an event whose number is in
    # doubt, behind which nothing can follow.
    Given a stream at one of two replicas, whose inputs are freed
    And the number of its only event is in doubt
    When a next attempt is prepared
    Then it can't follow, and its retry and its inputs are returned

  Scenario: a stream is not given up for the replica at which it is silent
    # Guards against a stream that is given up although the other replica has no
    # connection left, and that is then sent to the silent replica once more.
    Given a stream at one of two replicas, whose inputs are freed
    And the other replica has no connection left
    When a next attempt is prepared
    Then it can't follow, and its retry and its inputs are returned

  Scenario: a retry that is still to be sent is not returned for the next one
    # Guards against retries beyond the budget: one that is returned before it
    # is sent is not counted.
    Given a stream whose retry waits for a connection, and three replicas
    When a next attempt is prepared, and its stages are refused
    Then the retry that is still to be sent stays charged

  Scenario: a retry that is sent while the next attempt is prepared
    # Guards against an attempt that is given up for a retry which was its own.
    Given a stream whose retry waits for a connection, and three replicas
    And a budget of one retry
    When a next attempt is prepared, and the retry is sent meanwhile
    Then it can't follow

  Scenario: a request whose possible runs are used up waits
    # Guards against an attempt that is given up although no other may follow.
    Given a stream whose retry was sent, and three replicas
    And its route allows two attempts
    When a next attempt is prepared
    Then it can't follow, and its retry and its inputs are returned
