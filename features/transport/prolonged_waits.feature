Feature: a wait for an answer ends only if it may be given up

  Scenario Outline: a server that is silent for longer than the limit, <given up>
    # Guards against a connection that is closed before anybody was asked, and
    # against a wait without an end.
    Given a server that answers after 700 ms
    When it is called with a limit of 100 ms, <given up>
    Then the call <ends>

    Examples: answers to whether it may be given up
      | given up                            | ends                |
      | which may be given up               | fails within 400 ms |
      | which may not be given up           | has the answer      |
      | which may be given up after 300 ms  | fails within 700 ms |
      | which ends after 300 ms in any case | fails within 600 ms |
