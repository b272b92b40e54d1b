Feature: requests that crash replicas are told apart from others in progress

  Scenario: of the requests at three crashes only the one at all is quarantined
    # Guards against refusing requests that were only in progress at a crash.
    When three replicas crash while running one request and others beside it
    Then it is quarantined for half an hour and the others are not

  Scenario: two requests at the same crashes are told apart by a further crash
    # Guards against refusing a harmless request that was retried each time
    # together with the one that crashes replicas.
    When three replicas crash while running the same two requests
    Then neither is quarantined until a replica crashes while running only one

  Scenario: a request that was served is cleared
    # Guards against counting crashes that a request did not cause.
    When replicas crash while running one request that is served in between
    Then it is not quarantined, even if older evidence arrives late

  Scenario Outline: evidence that <bound>
    # Guards against unbounded memory, and evidence that never expires.
    When evidence <bound>
    Then the evidence stays bounded

    Examples: bounds
      | bound                          |
      | is of ten thousand requests    |
      | names ten thousand crashes     |
      | is of requests that are served |
      | grows old                      |

  Scenario: evidence merges to the same result in any order and with repeats
    # Guards against daemons that disagree on which requests to refuse.
    When daemons receive evidence of crashes in any order, some of it twice
    Then they quarantine the same requests

  Scenario: no harmless request is quarantined in random mixes of crashes
    # Guards against a rule that only fits the cases above.
    When random mixes of requests are in progress when replicas crash
    Then only the cause is quarantined, at its third crash without other retries
    And a rule that only counts crashes fails this check
    And a rule that counts a crash for all tied requests fails this check

  Scenario: a daemon that starts without the store keeps its saved evidence
    # Guards against overwriting the last copy before it was read.
    When a daemon starts while the store is down, and the store comes back
    Then it registers only with the evidence that it had saved before

  Scenario: a daemon that stops does not register again
    # Guards against an object that stays in the store after its daemon stopped.
    When a daemon that has announced its stop has evidence to save
    Then the store has no object of this daemon

  Scenario Outline: malformed evidence is refused: <value>
    # Guards against a daemon that exits because of a malformed message.
    When a daemon is sent <value> as evidence
    Then it answers with status 400 and keeps its own evidence

    Examples: values
      | value                                   |
      | []                                      |
      | {"crashes": 1, "harmless": [], "blamed": []}            |
      | {"crashes": [["a", 1]], "harmless": [], "blamed": []} |
      | {"crashes": [], "harmless": [["a", "x"]], "blamed": []} |
      | {"crashes": [["a", null, [["b"]], []]], "harmless": [], "blamed": []} |
      | {"crashes": [["a", 1, ["b"], []]], "harmless": [], "blamed": []} |

  Scenario: in random mixes only the bad part is blamed
    # Guards against a rule that only fits single cases: parts that nearly all
    # requests share, crashes of other causes, waves of them.
    When random mixes of requests that share parts meet crashes
    Then the bad part is refused after three crashes, at most three more
    And no sound request is refused in these mixes
    And every naive rule refuses sound requests in them

  Scenario: a part that is blamed while nothing can be answered is tried again
    # Guards against refusing sound requests for long after a collapse.
    When replicas crash so often that hardly anything is answered
    Then at least half of the sound requests are sent to replicas
