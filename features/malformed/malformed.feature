Feature: data that can't be read, and errors of background tasks

  Scenario: an entry whose address can't be read ends no daemon
    # Guards against an entry of the list of replicas that ends all daemons
    # together, each time that they start.
    Given 3 daemons as processes under callers
    When entries that can't be read are put into the list of replicas
    Then no request is lost or refused, and no daemon has ended
    And each daemon logs each of the entries once, and counts them

  Scenario: a deeply nested entry hides no drain and keeps no daemon from starting
    # Guards against one writer's entry that makes the list of all replicas
    # unreadable.
    When a replica drains behind an entry that is nested 2,000 deep
    Then it gets nothing later than drain_ms after its report
    And a daemon that starts then serves requests

  Scenario: odd entries of many kinds end no daemon and hide no change
    # Guards against entries that end the processes that read them, or that they
    # stop following.
    Given 3 daemons as processes under callers
    When entries with values of many odd kinds come, and a replica leaves
    Then no request is lost or refused, and no daemon has ended
    And the replica that left gets nothing any more

  @background_failures
  Scenario: an error while one change is applied loses no other change
    # Guards against a revision that is recorded before its changes are applied.
    When the second of three changes in a batch can't be applied
    Then the changes before and behind it are in force, and it is logged

  @background_failures
  Scenario Outline: a daemon without <guard> bears such an entry
    # Guards against a daemon that only one guard keeps from ending.
    Given a daemon without <guard>
    When an entry whose address can't be read is put into the list of replicas
    Then the daemon goes on, and answers requests once the entry is gone

    Examples:
      | guard                               |
      | the check of decoded addresses      |
      | tasks that contain their errors     |

  Scenario Outline: a message that is nested in <levels> levels is <outcome>
    # Guards against values that one daemon accepts and another can't be told.
    When a message is read that is nested in <levels> levels
    Then the message is <outcome>

    Examples: levels
      | levels | outcome  |
      | 128    | read     |
      | 129    | rejected |
      | 500    | rejected |
      | 5000   | rejected |

  Scenario Outline: generated <data> is read or left out
    # Guards against values that a later user of decoded data can't bear.
    When generated <data> is read, and used by all that reads it
    Then nothing fails, and sound data beside it holds

    Examples:
      | data                              |
      | entries of replicas               |
      | configurations                    |
      | entries of daemons                |
      | answers of the store              |
      | odd entries among sound ones      |
      | messages between daemons          |
      | states from other daemons         |
      | answers of replicas               |

  @background_failures
  Scenario: a background task that fails is run again after growing pauses
    # Guards against a task that is gone after an error, or fails unnoticed.
    When a service's background work fails again and again beside a sound one
    Then it is run again after pauses that grow up to a limit
    And each failure is logged with its trace and counted
    And the sound service runs all the while

  @background_failures
  Scenario: a task that fails ends no task beside it
    # Guards against work of other requests that an error cancels.
    When a task fails beside one that goes on and one that is cancelled
    Then the one goes on, and the cancellation is passed on

  Scenario: a daemon that can't listen to callers ends
    # Guards against a daemon that seems to run and serves nobody.
    When a daemon starts whose port for callers is taken
    Then it ends with the error
