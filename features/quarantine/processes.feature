Feature: a request that crashes replicas is no longer sent to them

  Scenario Outline: a <kind> that crashed three replicas is refused
    # Guards against a request that is retried with new ids, at any daemon, and
    # crashes one replica after the other.
    Given three daemons and four replicas that a <kind> crashes
    When it is sent repeatedly to all daemons, together with harmless requests
    Then it reaches replicas at most three times after it has crashed three
    And it is refused within 500 ms, as not run, with a time to retry after
    And no harmless request is refused because of it

    Examples: kinds of requests
      | kind                    |
      | lookup without a body   |
      | lookup with a long body |
      | booking                 |
      | stream                  |
      | resumable stream        |
      | stream with stages      |
      | stream with a part      |

  Scenario Outline: a <kind> whose answers end with their connection
    # Guards against taking the connection that a crash ends for a whole answer,
    # and thereby the request for one that was served.
    Given three daemons and four replicas that a <kind> crashes
    When replicas begin unframed answers before they crash
    Then it reaches replicas at most three times after it has crashed three
    And no caller gets such an answer as a whole one

    Examples: kinds of requests
      | kind               |
      | stream             |
      | stream with a part |

  Scenario: a replica that still listens after its unframed answer has crashed
    # Guards against one look at a replica that has not stopped listening yet.
    Given three daemons and four replicas that a stream crashes
    When replicas begin unframed answers and listen for 100 ms after they crash
    Then it reaches replicas at most three times after it has crashed three

  Scenario: a daemon that starts after the crashes refuses the request
    # Guards against a further crash for each daemon that is started.
    Given three daemons and four replicas that a booking crashes
    When it has crashed three replicas and is sent to a daemon that then starts
    Then it reaches no replica again

  Scenario: a daemon that was frozen during the crashes refuses the request
    # Guards against a frozen host that resumes without the evidence.
    Given three daemons and four replicas that a booking crashes
    When it has crashed three replicas and is sent to a daemon that was frozen
    Then it reaches no replica again

  Scenario: a replica that still listens when its connections break has crashed
    # Guards against a check that runs before the process has ended.
    Given three daemons and four replicas that a booking crashes
    When it has crashed three replicas that each listen for 100 ms more
    Then it reaches no replica again

  Scenario: a replica that is back soon after its connections break has crashed
    # Guards against looking at a replica only before and after it was down.
    Given three daemons and four replicas that a booking crashes
    When it has crashed three replicas that are down from 100 to 250 ms after it
    Then it reaches no replica again

  Scenario: a request that waits for its stages is not sent either
    # Guards against checking a request only on arrival.
    Given three daemons and four replicas that a stream with stages crashes
    When a daemon learns of its third crash while it waits for its stages
    Then it reaches no replica again

  Scenario: daemons refuse the request after all of them died
    # Guards against evidence that is lost when all daemons die.
    Given three daemons and four replicas that a booking crashes
    When it has crashed three replicas and is sent to daemons that all died
    Then it reaches no replica again

  Scenario: a harmless request that is in progress at each crash is served
    # Guards against refusing every request in progress when replicas crash.
    Given three daemons and four replicas that a booking crashes
    When five replicas crash while running a lookup that is answered in between
    Then the lookup is served afterwards

  Scenario: connections that are cut by running replicas are no evidence
    # Guards against treating a reset as a crash.
    Given three daemons and four replicas that a booking crashes
    When replicas cut the answers to one booking eight times
    Then the booking is served afterwards
