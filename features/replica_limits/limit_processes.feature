Feature: limits that replicas state, with daemons as processes

  Scenario Outline: <kind> at replicas of which one states a limit
    # Guards against daemons that forward an answer that states a limit and send
    # its replica as many requests as before.
    Given three daemons and three replicas that serve a <kind>
    When one states a limit of 1 a second while callers send 25 requests a second
    Then it gets no more than it tolerates, and some
    And it gets more than that soon after it states none

    Examples: kinds
      | kind               |
      | lookup             |
      | stream             |
      | stream with stages |
