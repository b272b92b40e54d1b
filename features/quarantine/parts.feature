Feature: all daemons refuse requests with a part that crashes replicas

  Scenario Outline: <count> daemons, of which <fault>
    # Guards against a part that each daemon has to learn of by its own crashes.
    Given <count> daemons and requests that share parts, one of which is bad
    When requests with it come at all daemons, of which <fault>
    Then at most three of them reach replicas after the third crash
    And no sound request is refused

    Examples: sizes
      | count | fault                             |
      | 6     | all live                          |
      | 64    | all live                          |
      | 195   | all live                          |
      | 348   | all live                          |
      | 6     | some are cut off                  |
      | 64    | some are cut off                  |
      | 348   | some are cut off                  |
      | 6     | some start again                  |
      | 195   | some start again                  |
      | 6     | all lose power                    |
      | 64    | all lose power                    |
      | 348   | all lose power                    |
      | 6     | the collectors end                |
      | 64    | the collectors end                |
      | 348   | the collectors end                |

  Scenario Outline: waves of other crashes before <count> daemons
    # Guards against blaming a part that most requests share.
    Given <count> daemons and requests that share parts, one of which is bad
    When replicas crash in waves and no request has the bad part
    Then no sound request is refused

    Examples: sizes
      | count |
      | 6     |
      | 64    |
      | 348   |

  Scenario: an operator sees what is blamed and lifts it
    # Guards against a quarantine that nobody can explain or end.
    Given 6 daemons that watch for crashes
    When three replicas crash while running requests with one part
    Then log and state page name the part and the crashes
    And all daemons send such requests once an operator lifts it at one

  Scenario: a part is blamed by name, wherever it stands but for the last place
    # Guards against refusing a request whose own part has the name of a bad one.
    When a prompt has the parts a, b and c
    Then a crash may be blamed on a and b, and c shares nothing

  Scenario: replicas that crash at the same moment count once
    # Guards against blaming what was on all replicas of a host that is lost.
    When four replicas crash at once while running requests with one part
    Then the part is blamed only after crashes at two other moments

  Scenario: a part that was answered just before a crash is spared
    # Guards against blaming a popular part before its answers are known.
    Given 6 daemons that watch for crashes
    When answers with a part begin at a daemon that sees none of its crashes
    Then no daemon refuses requests with it

  Scenario: parts that only come together are blamed together
    # Guards against refusing sound requests with one of them.
    When three replicas crash while running requests with the same two parts
    Then requests with both are blamed, and requests with one of them are not
    And two further crashes with one of them alone narrow the blame to it

  Scenario: what half of the recent answers had counts half
    # Guards against blaming the system prompt when nothing can be answered.
    When replicas crash while running requests with a part that is common
    Then the part is blamed after six crashes

  Scenario: a part of a request that crashes replicas is not blamed for others
    # Guards against adding up the crashes of two requests for a sound part
    # that one of them shares with requests in progress at both.
    When two requests crash replicas, and others share a part with one of them
    Then both requests are blamed, and the part by itself is not

  Scenario: a part that was blamed beside other crashes is tried again
    # Guards against refusing sound requests for half an hour after a collapse.
    Given 6 daemons that watch for crashes
    When a part is blamed while replicas crash for other reasons too
    Then one daemon sends one such request after two seconds, and all others none

  Scenario: a request that comes as a part is blamed waits for other daemons
    # Guards against refusing a sound request before those that answer others
    # with the same part could object.
    Given 6 daemons that watch for crashes
    When a daemon hears that a part is blamed, and then of an answer with it
    Then a request that came in between is sent

  Scenario: streams that go on for long are no evidence against their parts
    # Guards against blaming the parts of streams that break beside the cause.
    Given 6 daemons that watch for crashes
    When three replicas crash while streams with a part have gone on for two seconds
    Then no daemon refuses requests with it

  Scenario: a part whose replicas crash just after the first event is blamed
    # Guards against taking a first event for an answer that goes on.
    Given 6 daemons that watch for crashes
    When three replicas crash 100 ms after the first event of requests with a part
    Then every daemon refuses requests with it

  Scenario: answers from before a wave of crashes speak for their parts
    # Guards against forgetting answers before anything has crashed.
    Given 6 daemons that watch for crashes
    When replicas crash one after the other just after an answer with a part ended
    Then no daemon refuses requests with it

  Scenario: an answer that begins ends the quarantine of its part
    # Guards against a quarantine that goes on until another request comes.
    Given 6 daemons that watch for crashes
    When a request with a part that is blamed begins to be answered after all
    Then no daemon refuses requests with it

  Scenario: what has been blamed for a while stays so at all daemons
    # Guards against a quarantine that ends when another property has as many
    # crashes, and against daemons that disagree on it.
    When three replicas crash under one part, and then under two
    Then the first part stays blamed, also where the evidence is received later
