Feature: a request that crashes the replicas that run it is kept from them

  Scenario Outline: replicas are kept from a <kind> that crashed three of them
    # Guards against a request that comes back under new ids, at any daemon, and
    # takes one replica after the other with it.
    Given three daemons before four replicas that a <kind> crashes
    When it comes again and again, at all daemons, beside sound requests
    Then it reaches replicas three times at most once it has crashed three
    And it is refused at once, as not run, with a time to come back
    And no sound request is refused for it

    Examples: kinds of requests
      | kind                    |
      | lookup without a body   |
      | lookup with a long body |
      | booking                 |
      | stream                  |
      | resumable stream        |
      | stream with stages      |

  Scenario: a daemon that starts after the crashes knows the request
    # Guards against one more crash for each daemon that is started or replaced.
    Given three daemons before four replicas that a booking crashes
    When it has crashed three replicas and comes to a daemon that then starts
    Then it reaches no replica again

  Scenario: a daemon that stood still during the crashes knows the request
    # Guards against a frozen host that goes on where it stopped.
    Given three daemons before four replicas that a booking crashes
    When it has crashed three replicas and comes to a daemon that stood still
    Then it reaches no replica again

  Scenario: a replica that still listens as its connections break has crashed
    # Guards against a look that comes before the process has ended.
    Given three daemons before four replicas that a booking crashes
    When it has crashed three replicas that each listen for 100 ms more
    Then it reaches no replica again

  Scenario: a request that waits for its stages is not sent on either
    # Guards against judging a request only as it arrives.
    Given three daemons before four replicas that a stream with stages crashes
    When a daemon hears of its third crash while it waits for its stages
    Then it reaches no replica again

  Scenario: daemons that all died know the request
    # Guards against a loss of all daemons after which everything is tried anew.
    Given three daemons before four replicas that a booking crashes
    When it has crashed three replicas and comes to daemons that all died
    Then it reaches no replica again

  Scenario: a sound request that is under way at each crash is served
    # Guards against refusing whatever was under way as replicas crashed.
    Given three daemons before four replicas that a booking crashes
    When five replicas crash under one lookup that is answered in between
    Then the lookup is served afterwards

  Scenario: connections that are reset by living replicas accuse no request
    # Guards against taking a reset for a crash.
    Given three daemons before four replicas that a booking crashes
    When replicas cut the answers to one booking eight times
    Then the booking is served afterwards
